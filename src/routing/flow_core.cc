#include "routing/flow_core.h"

#include <algorithm>
#include <array>
#include <utility>

#include "routing/placement_strategy.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kMaxHops = 8;
constexpr std::size_t kMaxAwaitingPackets = 1024;
/// Room for states that arrive in pieces, in bytes.
constexpr std::size_t kMaxAssembledBytes = 2 * kMaxStateBytes;
/// The view version leads a generation: versions order the placements of
/// different homes, and need no clock. A step leaves room for handovers.
constexpr int kGenerationVersionShift = 32;
constexpr uint64_t kGenerationStep = 256;
/// Longest wait of a packet for the view that it belongs to.
constexpr absl::Duration kViewPatience = absl::Seconds(1);
constexpr absl::Duration kPullInterval = absl::Milliseconds(50);

/// Packets that nobody sends again when they are dropped here.
bool CarriesCallerPayload(packet_kind kind) {
  return kind == packet_kind::kFromCaller || kind == packet_kind::kNotHeld;
}

/// Takes back what the header says to the target that was meant. False for a
/// message that means nothing to another target.
bool MakeFromBalancer(packet_header* header) {
  if (!CarriesCallerPayload(header->kind)) {
    return false;
  }
  header->kind = packet_kind::kFromCaller;
  header->sender = 0;
  header->holder = 0;
  header->grant = false;
  return true;
}

}  // namespace

flow_core::flow_core(target_id own_id, service_id own_service,
                     const placement_strategy* placement)
    : own_id_(own_id),
      own_service_(own_service),
      placement_(placement),
      history_(own_id),
      assembler_(kMaxAssembledBytes) {}

flow_core::handler flow_core::HandlerOf(packet_kind kind) {
  static constexpr std::array<handler, 19> kHandlers = {
      nullptr,
      &flow_core::OnCallerPacket,
      nullptr,  // kToCaller is for balancers.
      &flow_core::OnNotHeld,
      &flow_core::OnRegister,
      &flow_core::OnHandover,
      &flow_core::OnHandoverDone,
      &flow_core::OnAsk,
      &flow_core::OnAnswerHeld,
      &flow_core::OnRegisterDone,
      &flow_core::OnSyncAsk,
      &flow_core::OnSyncDone,
      &flow_core::OnClosed,
      &flow_core::OnLoad,
      &flow_core::OnHandoverRefused,
      &flow_core::OnSuperseded,
      &flow_core::OnAnswerNotHeld,
      nullptr,  // kPassedOn is for the request core.
      &flow_core::OnHandoverHeld,
  };
  const auto index = static_cast<std::size_t>(kind);
  return index < kHandlers.size() ? kHandlers[index] : nullptr;
}

void flow_core::OnPacket(packet_header header, std::string payload,
                         absl::Time now, flow_actions* actions) {
  packet item{std::move(header), std::move(payload)};
  const handler handle = HandlerOf(item.header.kind);
  if (handle == nullptr || item.header.flow.service != own_service_) {
    Drop(&item, flow_reason::kForeignService, actions);
    return;
  }
  if (item.header.receiver != own_id_ && !MakeFromBalancer(&item.header)) {
    Drop(&item, flow_reason::kNotMember, actions);
    return;
  }
  if (item.header.view_version > view_version_) {
    PullNow(item.header.view_version, now, actions);
    if (!TryOwn(&item, actions)) {
      AwaitView(&item, now, actions);
    }
    return;
  }
  if (!IsMember()) {
    OnPacketOfOthers(&item, actions);
    return;
  }
  const target_id sender = item.header.sender;
  const bool is_known_sender = routes().Find(sender) != nullptr;
  if (!is_known_sender && item.header.kind != packet_kind::kFromCaller) {
    Drop(&item, flow_reason::kNotMember, actions);
    return;
  }
  (this->*handle)(&item, now, actions);
}

void flow_core::OnPacketOfOthers(packet* item, flow_actions* actions) {
  if (history_.empty() || !CarriesCallerPayload(item->header.kind)) {
    Refuse(item, error_kind::kStaleView, flow_reason::kNotMember, actions);
    return;
  }
  ForwardToHome(item, actions);
}

void flow_core::OnCallerPacket(packet* item, absl::Time now,
                               flow_actions* actions) {
  if (TryHeld(item, actions) || TryOutgoing(item, actions) ||
      TryRedirect(item, now, actions) || TryGrant(item, now, actions) ||
      TryReturn(item, now, actions)) {
    return;
  }
  FindHolder(item, now, actions);
}

// A later view changes nothing for a flow that is here: the one who sent this
// packet has this target in that view.
bool flow_core::TryOwn(packet* item, flow_actions* actions) {
  return item->header.kind == packet_kind::kFromCaller &&
         item->header.receiver == own_id_ && IsMember() &&
         (TryHeld(item, actions) || TryOutgoing(item, actions));
}

bool flow_core::TryHeld(packet* item, flow_actions* actions) {
  const auto found = held_.find(item->header.flow.caller);
  if (found == held_.end()) {
    return false;
  }
  if (!found->second.is_unconfirmed) {
    Deliver(item, /*is_new=*/false, flow_reason::kHeldHere, actions);
  } else if (!unconfirmed_[found->first].Push(item)) {
    Drop(item, flow_reason::kBufferFull, actions);
  }
  return true;
}

bool flow_core::TryOutgoing(packet* item, flow_actions* actions) {
  const auto found = outgoing_.find(item->header.flow.caller);
  if (found == outgoing_.end()) {
    return false;
  }
  if (!found->second.packets.Push(item)) {
    Drop(item, flow_reason::kBufferFull, actions);
  }
  return true;
}

bool flow_core::TryRedirect(packet* item, absl::Time /*now*/,
                            flow_actions* actions) {
  packet_header& header = item->header;
  const auto found = redirects_.find(header.flow.caller);
  if (found == redirects_.end()) {
    return false;
  }
  const flow_redirect& redirect = found->second;
  const bool is_older_than_sender_knows =
      header.holder == own_id_ && header.generation > redirect.generation;
  if (routes().Find(redirect.holder) == nullptr || is_older_than_sender_knows) {
    redirects_.erase(found);
    return false;
  }
  header.holder = redirect.holder;
  header.generation = redirect.generation;
  header.grant = redirect.is_granted && HomeOf(found->first) == own_id_;
  Send(std::move(header), std::move(item->payload), redirect.holder,
       redirect.is_granted ? flow_reason::kPlacedOnCandidate
                           : flow_reason::kRedirected,
       actions);
  return true;
}

bool flow_core::TryGrant(packet* item, absl::Time now, flow_actions* actions) {
  const packet_header& header = item->header;
  const endpoint& caller = header.flow.caller;
  if (!header.grant || header.holder != own_id_ || !IsServing() ||
      is_draining_ || !lease_.IsValid(now) ||
      IsBuried(caller, header.generation) ||
      !history_.IsHomeSince(HashOf(header.flow), header.sender, header.epoch)) {
    return false;
  }
  Hold(caller, header.generation, /*told_home=*/0);
  RegisterWithHome(caller, header.generation, &held_[caller].told_home);
  Deliver(item, /*is_new=*/true, flow_reason::kPlacedByHome, actions);
  SendRegistrations(now, actions);
  return true;
}

bool flow_core::TryReturn(packet* item, absl::Time now, flow_actions* actions) {
  packet_header& header = item->header;
  const target_id home = header.sender;
  if (header.holder != own_id_ || home == 0 || home == own_id_ ||
      home != HomeOf(header.flow.caller)) {
    return false;
  }
  Bury(header.flow.caller, header.generation, now);
  header.kind = packet_kind::kNotHeld;
  Send(std::move(header), std::move(item->payload), home,
       flow_reason::kReturnedToHome, actions);
  return true;
}

void flow_core::FindHolder(packet* item, absl::Time now,
                           flow_actions* actions) {
  const authority_answer answer =
      history_.AuthorityOver(HashOf(item->header.flow));
  switch (answer.authority) {
    case flow_authority::kNotHome:
      ForwardToHome(item, actions);
      break;
    case flow_authority::kNobodyHolds:
      Place(item, now, actions);
      break;
    case flow_authority::kAskPrevious:
    case flow_authority::kAwaitSync:
      AddPending(item, now, actions);
      break;
  }
}

void flow_core::Place(packet* item, absl::Time now, flow_actions* actions) {
  const endpoint caller = item->header.flow.caller;
  if (!lease_.IsValid(now)) {
    Refuse(item, error_kind::kStaleView, flow_reason::kLeaseExpired, actions);
    return;
  }
  const target_id chosen = ChooseTarget(HashOf(item->header.flow), now);
  if (chosen == 0) {
    Refuse(item, error_kind::kDraining, flow_reason::kIsDraining, actions);
    return;
  }
  const auto buried = tombstones_.find(caller);
  if (buried != tombstones_.end()) {
    last_generation_ = std::max(last_generation_, buried->second.generation);
  }
  const uint64_t generation = NextGeneration();
  if (chosen == own_id_) {
    Hold(caller, generation, own_id_);
    Deliver(item, /*is_new=*/true, flow_reason::kPlacedHere, actions);
    return;
  }
  flow_redirect redirect;
  redirect.holder = chosen;
  redirect.generation = generation;
  redirect.is_granted = true;
  redirects_[caller] = redirect;
  loads_.OnGrant(chosen);
  TryRedirect(item, now, actions);
}

target_id flow_core::ChooseTarget(uint64_t flow_hash, absl::Time now) const {
  const bool can_hold = IsServing() && !is_draining_;
  const target_id candidate = routes().Candidate(flow_hash, own_id_);
  const bool can_grant = candidate != 0 && !loads_.IsRefusing(candidate, now);
  if (!can_hold || !can_grant) {
    return can_hold ? own_id_ : (can_grant ? candidate : 0);
  }
  const load_sample own = loads_.Own(static_cast<uint32_t>(held_.size()), now);
  return placement_->PrefersCandidate(own, loads_.Peer(candidate), now)
             ? candidate
             : own_id_;
}

void flow_core::Hold(const endpoint& caller, uint64_t generation,
                     target_id told_home) {
  held_flow flow;
  flow.generation = generation;
  flow.told_home = told_home;
  held_[caller] = flow;
  redirects_.erase(caller);
}

void flow_core::Deliver(packet* item, bool is_new, flow_reason reason,
                        flow_actions* actions) {
  flow_action action;
  action.kind = flow_action_kind::kDeliver;
  action.reason = reason;
  action.header = std::move(item->header);
  action.payload = std::move(item->payload);
  action.is_new = is_new;
  actions->push_back(std::move(action));
}

void flow_core::ForwardToHome(packet* item, flow_actions* actions) {
  const target_id home = HomeOf(item->header.flow.caller);
  if (home == 0 || home == own_id_) {
    Refuse(item, error_kind::kUnreachable, flow_reason::kNoTarget, actions);
    return;
  }
  item->header.kind = packet_kind::kFromCaller;
  item->header.holder = 0;
  item->header.grant = false;
  Send(std::move(item->header), std::move(item->payload), home,
       flow_reason::kForwardedToHome, actions);
}

void flow_core::Refuse(packet* item, error_kind error, flow_reason reason,
                       flow_actions* actions) {
  if (!CarriesCallerPayload(item->header.kind)) {
    Drop(item, reason, actions);
    return;
  }
  flow_action action;
  action.kind = flow_action_kind::kRefuse;
  action.reason = reason;
  action.error = error;
  action.header = std::move(item->header);
  action.payload = std::move(item->payload);
  actions->push_back(std::move(action));
}

void flow_core::Drop(packet* item, flow_reason reason, flow_actions* actions) {
  flow_action action;
  action.kind = flow_action_kind::kDrop;
  action.reason = reason;
  action.header = std::move(item->header);
  actions->push_back(std::move(action));
}

void flow_core::AwaitView(packet* item, absl::Time now, flow_actions* actions) {
  if (!CarriesCallerPayload(item->header.kind)) {
    Drop(item, flow_reason::kAwaitsView, actions);
    return;
  }
  if (awaiting_view_.size() >= kMaxAwaitingPackets) {
    Refuse(item, error_kind::kStaleView, flow_reason::kBufferFull, actions);
    return;
  }
  awaiting_view_.push_back({std::move(*item), now + kViewPatience});
}

void flow_core::PullNow(uint64_t version, absl::Time now,
                        flow_actions* actions) {
  if (version <= pulled_version_ && now < next_pull_) {
    return;
  }
  pulled_version_ = std::max(pulled_version_, version);
  next_pull_ = now + kPullInterval;
  flow_action action;
  action.kind = flow_action_kind::kPullNow;
  action.reason = flow_reason::kAwaitsView;
  action.header.view_version = version;
  actions->push_back(std::move(action));
}

bool flow_core::IsMember() const {
  return !history_.empty() && was_member_ && routes().Find(own_id_) != nullptr;
}

bool flow_core::IsServing() const {
  const route_target* own = routes().Find(own_id_);
  return own != nullptr && own->state == target_state::kServing;
}

bool flow_core::IsHeld(const endpoint& caller) const {
  return held_.contains(caller);
}

flow_key flow_core::FlowOf(const endpoint& caller) const {
  return flow_key{caller, own_service_};
}

target_id flow_core::HomeOf(const endpoint& caller) const {
  return routes().Home(HashOf(FlowOf(caller)));
}

uint64_t flow_core::NextGeneration() {
  last_generation_ = std::max(last_generation_ + kGenerationStep,
                              view_version_ << kGenerationVersionShift);
  return last_generation_;
}

packet_header flow_core::MakeHeader(packet_kind kind,
                                    const endpoint& caller) const {
  packet_header header;
  header.kind = kind;
  header.flow = FlowOf(caller);
  return header;
}

void flow_core::Send(packet_header header, std::string payload, target_id to,
                     flow_reason reason, flow_actions* actions) {
  flow_action action;
  action.reason = reason;
  action.to = to;
  const route_target* receiver = routes().Find(to);
  header.view_version = view_version_;
  header.epoch = header.epoch != 0 && header.kind != packet_kind::kFromCaller
                     ? header.epoch
                     : history_.epoch();
  header.sender = own_id_;
  header.receiver = to;
  ++header.hops;
  const bool can_send = receiver != nullptr && header.hops <= kMaxHops;
  action.kind = can_send                            ? flow_action_kind::kSend
                : CarriesCallerPayload(header.kind) ? flow_action_kind::kRefuse
                                                    : flow_action_kind::kDrop;
  if (!can_send) {
    action.reason = receiver == nullptr ? flow_reason::kNoTarget
                                        : flow_reason::kTooManyHops;
    action.error = error_kind::kUnreachable;
  } else {
    action.agent = receiver->agent;
  }
  action.header = std::move(header);
  action.payload = std::move(payload);
  actions->push_back(std::move(action));
}

}  // namespace cardamomroute
