// Views and the passing of time.
#include <algorithm>
#include <utility>

#include "routing/flow_core.h"

namespace cardamomroute {
namespace {

/// Longest life of a datagram that was sent to this target.
constexpr absl::Duration kTombstoneLifetime = absl::Seconds(60);
constexpr absl::Duration kExpiryInterval = absl::Seconds(1);
/// Load messages of one target stay below some 150 a second.
constexpr absl::Duration kLeastLoadInterval = absl::Milliseconds(50);
constexpr absl::Duration kLoadIntervalPerPeer = absl::Milliseconds(7);

template <typename Map, typename IsExpired>
void EraseIf(Map* map, IsExpired is_expired) {
  for (auto entry = map->begin(); entry != map->end();) {
    const auto next = std::next(entry);
    if (is_expired(entry->second)) {
      map->erase(entry);
    }
    entry = next;
  }
}

}  // namespace

void flow_core::OnView(const view& current, absl::Time now,
                       flow_actions* actions) {
  if (current.version <= view_version_) {
    return;
  }
  const target* own = current.FindTarget(own_id_);
  const service* item = current.FindService(own_service_);
  const bool is_member =
      own != nullptr && own->service == own_service_ && item != nullptr;
  if (!is_member && was_member_) {
    view_version_ = current.version;
    if (item != nullptr) {
      history_.OnView(current, *item, now);
    }
    LeaveService(now, actions);
    return;
  }
  view_version_ = current.version;
  if (is_member) {
    JoinOrUpdate(current, *item, now, actions);
  }
  ReplayAwaiting(now, actions);
}

void flow_core::JoinOrUpdate(const view& current, const service& item,
                             absl::Time now, flow_actions* actions) {
  if (!was_member_) {
    was_member_ = true;
    loads_.OnStart(now);
  }
  const std::vector<route_target> before =
      history_.empty() ? std::vector<route_target>{} : routes().targets();
  if (!history_.OnView(current, item, now)) {
    return;
  }
  for (const route_target& target : before) {
    if (routes().Find(target.id) == nullptr) {
      registrar_.DropHome(target.id);
      loads_.DropPeer(target.id);
    }
  }
  if (history_.IsGapBeforePresent()) {
    ForgetToldHomes();
  }
  RegisterAll();
  ConfirmOwn(now, actions);
  UpdateRedirects(now);
  sync_attempts_ = 0;
  next_sync_ = absl::InfinitePast();
  AskForSync(now, actions);
  RetryPending(now, actions);
  SendRegistrations(now, actions);
}

void flow_core::LeaveService(absl::Time now, flow_actions* actions) {
  std::vector<endpoint> callers;
  for (const auto& [caller, flow] : held_) {
    callers.push_back(caller);
  }
  redirects_.clear();
  for (const endpoint& caller : callers) {
    held_.erase(caller);
    flow_action action;
    action.kind = flow_action_kind::kAbandon;
    action.reason = flow_reason::kNotMember;
    action.header = MakeHeader(packet_kind::kFromCaller, caller);
    actions->push_back(std::move(action));
  }
  was_member_ = false;
  flow_action action;
  action.kind = flow_action_kind::kRemoved;
  action.reason = flow_reason::kNotMember;
  actions->push_back(std::move(action));
  ReplayAwaiting(now, actions);
}

void flow_core::ForgetToldHomes() {
  for (auto& [caller, flow] : held_) {
    flow.told_home = 0;
  }
  for (auto& [caller, flow] : outgoing_) {
    flow.told_home = 0;
  }
}

void flow_core::ConfirmOwn(absl::Time now, flow_actions* actions) {
  std::vector<endpoint> callers;
  for (const auto& [caller, flow] : held_) {
    if (flow.is_unconfirmed && flow.told_home == own_id_) {
      callers.push_back(caller);
    }
  }
  for (const endpoint& caller : callers) {
    Confirm(caller, now, actions);
  }
}

void flow_core::OnCurrentVersion(uint64_t current_version,
                                 absl::Time asked_at) {
  lease_.OnHeard(view_version_, current_version, asked_at);
}

void flow_core::OnLocalLoad(uint32_t busy_slots, uint32_t slots,
                            uint32_t queued, absl::Time now) {
  loads_.OnOwnLoad(busy_slots, slots, queued, now);
}

void flow_core::OnObservingFlows(uint32_t flows) {
  loads_.OnObservingFlows(flows);
}

void flow_core::OnLocalReport(double free_share) {
  loads_.OnOwnReport(free_share);
}

void flow_core::OnTick(absl::Time now, flow_actions* actions) {
  while (!awaiting_view_.empty() && now >= awaiting_view_.front().deadline) {
    packet item = std::move(awaiting_view_.front().item);
    awaiting_view_.pop_front();
    GoOnWithoutView(&item, now, actions);
  }
  if (!awaiting_view_.empty()) {
    PullNow(awaiting_view_.front().item.header.view_version, now, actions);
  }
  if (!IsMember()) {
    return;
  }
  history_.OnTick(now);
  AskForSync(now, actions);
  RetryPending(now, actions);
  SendRegistrations(now, actions);
  RetryHandovers(now, actions);
  SendLoads(now, actions);
  ExpireEntries(now);
  // Last: nothing may be delivered to a flow behind its kExport.
  ExportFlows(actions);
}

// The one who holds the flow knows more than a refusal would say, but may be
// gone in the later view: not before the wait is over.
void flow_core::GoOnWithoutView(packet* item, absl::Time now,
                                flow_actions* actions) {
  const bool is_known =
      TryOwn(item, actions) || (item->header.kind == packet_kind::kFromCaller &&
                                IsMember() && TryRedirect(item, now, actions));
  if (!is_known) {
    Refuse(item, error_kind::kStaleView, flow_reason::kAwaitsView, actions);
  }
}

void flow_core::ReplayAwaiting(absl::Time now, flow_actions* actions) {
  std::deque<awaiting_packet> waiting = std::exchange(awaiting_view_, {});
  for (awaiting_packet& entry : waiting) {
    if (entry.item.header.view_version > view_version_) {
      awaiting_view_.push_back(std::move(entry));
      continue;
    }
    OnPacket(std::move(entry.item.header), std::move(entry.item.payload), now,
             actions);
  }
}

void flow_core::UpdateRedirects(absl::Time now) {
  for (auto& [caller, redirect] : redirects_) {
    if (HomeOf(caller) == own_id_) {
      redirect.expires = absl::InfiniteFuture();
    } else if (redirect.expires == absl::InfiniteFuture()) {
      redirect.expires = now + kRedirectLifetime;
    }
  }
}

void flow_core::ExpireEntries(absl::Time now) {
  const bool is_empty =
      is_draining_ && !IsServing() && held_.empty() && outgoing_.empty();
  if (!is_empty) {
    drained_since_ = absl::InfiniteFuture();
  } else if (drained_since_ == absl::InfiniteFuture()) {
    drained_since_ = now;
  }
  if (now < next_expiry_) {
    return;
  }
  next_expiry_ = now + kExpiryInterval;
  assembler_.Expire(now);
  EraseIf(&redirects_,
          [&](const flow_redirect& entry) { return now >= entry.expires; });
  EraseIf(&tombstones_,
          [&](const flow_tombstone& entry) { return now >= entry.expires; });
}

void flow_core::SendLoads(absl::Time now, flow_actions* actions) {
  if (now < next_load_) {
    return;
  }
  const std::vector<route_target>& peers = routes().targets();
  next_load_ =
      now + std::max(kLeastLoadInterval,
                     kLoadIntervalPerPeer * static_cast<int64_t>(peers.size()));
  packet_header header = MakeHeader(packet_kind::kLoad, endpoint{});
  loads_.FillHeader(static_cast<uint32_t>(held_.size()), now, &header);
  for (const route_target& peer : peers) {
    if (peer.id != own_id_) {
      Send(header, "", peer.id, flow_reason::kPeerMessage, actions);
    }
  }
}

void flow_core::Bury(const endpoint& caller, uint64_t generation,
                     absl::Time now) {
  flow_tombstone& entry = tombstones_[caller];
  entry.generation = std::max(entry.generation, generation);
  entry.expires = now + kTombstoneLifetime;
}

bool flow_core::IsBuried(const endpoint& caller, uint64_t generation) const {
  const auto found = tombstones_.find(caller);
  return found != tombstones_.end() && found->second.generation >= generation;
}

}  // namespace cardamomroute
