// Messages between the targets of a service: who holds which flow.
#include <algorithm>
#include <utility>

#include "routing/flow_core.h"
#include "routing/retry_backoff.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kMaxPendingFlows = 4096;
constexpr std::size_t kMaxSyncAsksPerTick = 64;

}  // namespace

void flow_core::OnNotHeld(packet* item, absl::Time now, flow_actions* actions) {
  packet_header& header = item->header;
  const endpoint caller = header.flow.caller;
  const target_id denier = header.sender;
  const uint64_t generation = header.generation;
  const auto found = redirects_.find(caller);
  if (found != redirects_.end() && found->second.holder == denier &&
      found->second.generation <= generation) {
    if (found->second.is_granted) {
      loads_.OnRefusal(denier, now);
    }
    redirects_.erase(found);
  }
  header.kind = packet_kind::kFromCaller;
  header.holder = 0;
  header.grant = false;
  OnCallerPacket(item, now, actions);
  const auto pending = pending_.find(caller);
  if (pending != pending_.end()) {
    pending->second.denier = denier;
    pending->second.denied_generation = generation;
  }
}

void flow_core::AddPending(packet* item, absl::Time now,
                           flow_actions* actions) {
  const endpoint caller = item->header.flow.caller;
  const bool is_known = pending_.contains(caller);
  if (!is_known && pending_.size() >= kMaxPendingFlows) {
    Refuse(item, error_kind::kBusy, flow_reason::kBufferFull, actions);
    return;
  }
  pending_flow& flow = pending_[caller];
  if (!flow.packets.Push(item)) {
    Drop(item, flow_reason::kBufferFull, actions);
  }
  if (!is_known) {
    AskPrevious(caller, &flow, now, actions);
  }
}

void flow_core::AskPrevious(const endpoint& caller, pending_flow* flow,
                            absl::Time now, flow_actions* actions) {
  const authority_answer answer =
      history_.AuthorityOver(HashOf(FlowOf(caller)));
  if (answer.authority != flow_authority::kAskPrevious) {
    return;
  }
  flow->retry_at = RetryAt(now, flow->attempts++);
  packet_header header = MakeHeader(packet_kind::kAsk, caller);
  header.epoch = answer.previous_epoch;
  Send(std::move(header), "", answer.previous_home,
       flow_reason::kAskedPreviousHome, actions);
}

void flow_core::RetryPending(absl::Time now, flow_actions* actions) {
  std::vector<endpoint> callers;
  callers.reserve(pending_.size());
  for (const auto& [caller, flow] : pending_) {
    callers.push_back(caller);
  }
  for (const endpoint& caller : callers) {
    pending_flow& flow = pending_[caller];
    const flow_authority authority =
        history_.AuthorityOver(HashOf(FlowOf(caller))).authority;
    if (authority == flow_authority::kNotHome) {
      ResolvePending(caller, now, actions);
    } else if (authority == flow_authority::kNobodyHolds) {
      PlacePending(caller, now, actions);
    } else if (now >= flow.retry_at) {
      AskPrevious(caller, &flow, now, actions);
    }
  }
}

std::vector<packet> flow_core::TakePending(const endpoint& caller) {
  const auto found = pending_.find(caller);
  if (found == pending_.end()) {
    return {};
  }
  std::vector<packet> packets = found->second.packets.TakeAll();
  pending_.erase(found);
  return packets;
}

void flow_core::ResolvePending(const endpoint& caller, absl::Time now,
                               flow_actions* actions) {
  for (packet& item : TakePending(caller)) {
    OnCallerPacket(&item, now, actions);
  }
}

void flow_core::PlacePending(const endpoint& caller, absl::Time now,
                             flow_actions* actions) {
  for (packet& item : TakePending(caller)) {
    if (!TryHeld(&item, actions) && !TryRedirect(&item, now, actions)) {
      Place(&item, now, actions);
    }
  }
}

void flow_core::OnAsk(packet* item, absl::Time now, flow_actions* actions) {
  const packet_header& question = item->header;
  const endpoint& caller = question.flow.caller;
  packet_header answer = MakeHeader(packet_kind::kAnswerHeld, caller);
  answer.epoch = question.epoch;
  const auto redirect = redirects_.find(caller);
  const auto held = held_.find(caller);
  const auto outgoing = outgoing_.find(caller);
  if (held != held_.end()) {
    answer.holder = own_id_;
    answer.generation = held->second.generation;
  } else if (outgoing != outgoing_.end()) {
    answer.holder = own_id_;
    answer.generation = outgoing->second.generation;
  } else if (redirect != redirects_.end()) {
    answer.holder = redirect->second.holder;
    answer.generation = redirect->second.generation;
  } else if (!pending_.contains(caller) && HomeOf(caller) != own_id_ &&
             history_.KnowsUnheldAt(HashOf(question.flow), question.epoch,
                                    now)) {
    answer.kind = packet_kind::kAnswerNotHeld;
  } else {
    return;
  }
  Send(std::move(answer), "", question.sender, flow_reason::kPeerMessage,
       actions);
}

bool flow_core::IsAwaitedAnswer(const packet_header& header) const {
  const authority_answer asked = history_.AuthorityOver(HashOf(header.flow));
  return pending_.contains(header.flow.caller) &&
         asked.authority == flow_authority::kAskPrevious &&
         asked.previous_home == header.sender &&
         asked.previous_epoch == header.epoch;
}

void flow_core::OnAnswerHeld(packet* item, absl::Time now,
                             flow_actions* actions) {
  const packet_header& header = item->header;
  const endpoint& caller = header.flow.caller;
  if (!IsAwaitedAnswer(header)) {
    return;
  }
  const pending_flow& flow = pending_[caller];
  const bool is_denied = header.holder == flow.denier &&
                         header.generation <= flow.denied_generation;
  if (is_denied || header.holder == own_id_ ||
      routes().Find(header.holder) == nullptr) {
    PlacePending(caller, now, actions);
    return;
  }
  flow_redirect redirect;
  redirect.holder = header.holder;
  redirect.generation = header.generation;
  redirects_[caller] = redirect;
  ResolvePending(caller, now, actions);
}

void flow_core::OnAnswerNotHeld(packet* item, absl::Time now,
                                flow_actions* actions) {
  if (IsAwaitedAnswer(item->header)) {
    PlacePending(item->header.flow.caller, now, actions);
  }
}

void flow_core::RegisterWithHome(const endpoint& caller, uint64_t generation,
                                 target_id* told_home) {
  const target_id home = HomeOf(caller);
  if (home == *told_home) {
    return;
  }
  *told_home = home;
  if (home != own_id_ && home != 0) {
    registrar_.Queue(home, packet_kind::kRegister, {caller, generation});
  }
}

void flow_core::RegisterAll() {
  for (auto& [caller, flow] : held_) {
    RegisterWithHome(caller, flow.generation, &flow.told_home);
  }
  for (auto& [caller, flow] : outgoing_) {
    RegisterWithHome(caller, flow.generation, &flow.told_home);
  }
}

void flow_core::SendRegistrations(absl::Time now, flow_actions* actions) {
  for (registration_batch& batch : registrar_.TakeDue(now)) {
    packet_header header = MakeHeader(batch.kind, endpoint{});
    header.sequence = batch.sequence;
    header.flows = std::move(batch.flows);
    Send(std::move(header), "", batch.home, flow_reason::kRegistered, actions);
  }
}

void flow_core::OnRegister(packet* item, absl::Time now,
                           flow_actions* actions) {
  const packet_header& header = item->header;
  packet_header done = MakeHeader(packet_kind::kRegisterDone, endpoint{});
  done.sequence = header.sequence;
  for (const flow_record& record : header.flows) {
    const uint64_t winner =
        TakeRegistration(header.sender, record, now, actions);
    if (winner > record.generation) {
      done.flows.push_back({record.caller, winner});
    }
  }
  Send(std::move(done), "", header.sender, flow_reason::kPeerMessage, actions);
}

uint64_t flow_core::TakeRegistration(target_id holder,
                                     const flow_record& record, absl::Time now,
                                     flow_actions* actions) {
  const endpoint& caller = record.caller;
  const auto held = held_.find(caller);
  if (held != held_.end()) {
    if (held->second.generation >= record.generation) {
      return held->second.generation;
    }
    Abandon(caller, now, actions);
  }
  const auto outgoing = outgoing_.find(caller);
  if (outgoing != outgoing_.end()) {
    if (outgoing->second.generation >= record.generation) {
      return outgoing->second.generation;
    }
    FinishHandover(caller, holder, record.generation, now, actions);
  }
  return TakeRedirect(holder, record, now, actions);
}

uint64_t flow_core::TakeRedirect(target_id holder, const flow_record& record,
                                 absl::Time now, flow_actions* actions) {
  const endpoint& caller = record.caller;
  flow_redirect redirect;
  redirect.holder = holder;
  redirect.generation = record.generation;
  if (HomeOf(caller) != own_id_) {
    redirect.expires = now + kRedirectLifetime;
  }
  const auto [place, is_new] = redirects_.try_emplace(caller, redirect);
  const flow_redirect known = place->second;
  const bool is_rival = !is_new && known.holder != holder &&
                        routes().Find(known.holder) != nullptr;
  if (is_rival && known.generation >= record.generation) {
    return known.generation;
  }
  if (known.holder != holder || known.generation <= record.generation) {
    place->second = redirect;
  }
  if (is_rival) {
    packet_header header = MakeHeader(packet_kind::kSuperseded, caller);
    header.holder = holder;
    header.generation = record.generation;
    Send(std::move(header), "", known.holder, flow_reason::kSuperseded,
         actions);
  }
  ResolvePending(caller, now, actions);
  return record.generation;
}

void flow_core::OnClosed(packet* item, absl::Time /*now*/,
                         flow_actions* actions) {
  const packet_header& header = item->header;
  for (const flow_record& record : header.flows) {
    const auto found = redirects_.find(record.caller);
    if (found != redirects_.end() && found->second.holder == header.sender &&
        found->second.generation <= record.generation) {
      redirects_.erase(found);
    }
  }
  packet_header done = MakeHeader(packet_kind::kRegisterDone, endpoint{});
  done.sequence = header.sequence;
  Send(std::move(done), "", header.sender, flow_reason::kPeerMessage, actions);
}

void flow_core::OnRegisterDone(packet* item, absl::Time now,
                               flow_actions* actions) {
  const packet_header& header = item->header;
  const registration_batch batch =
      registrar_.OnDone(header.sender, header.sequence);
  if (batch.kind != packet_kind::kRegister) {
    return;
  }
  for (const flow_record& record : header.flows) {
    const auto held = held_.find(record.caller);
    if (held != held_.end() && held->second.generation < record.generation) {
      Abandon(record.caller, now, actions);
    }
  }
  for (const flow_record& record : batch.flows) {
    const auto held = held_.find(record.caller);
    if (held != held_.end() && held->second.generation == record.generation &&
        held->second.told_home == header.sender) {
      Confirm(record.caller, now, actions);
    }
  }
}

void flow_core::OnSuperseded(packet* item, absl::Time now,
                             flow_actions* actions) {
  const packet_header& header = item->header;
  const endpoint& caller = header.flow.caller;
  if (header.holder == own_id_) {
    return;
  }
  const auto outgoing = outgoing_.find(caller);
  if (outgoing != outgoing_.end() &&
      outgoing->second.generation < header.generation) {
    FinishHandover(caller, header.holder, header.generation, now, actions);
  }
  const auto held = held_.find(caller);
  if (held != held_.end() && held->second.generation < header.generation) {
    Abandon(caller, now, actions);
  }
}

void flow_core::Abandon(const endpoint& caller, absl::Time now,
                        flow_actions* actions) {
  const auto found = held_.find(caller);
  Bury(caller, found->second.generation, now);
  held_.erase(found);
  flow_action action;
  action.kind = flow_action_kind::kAbandon;
  action.reason = flow_reason::kSuperseded;
  action.header = MakeHeader(packet_kind::kFromCaller, caller);
  actions->push_back(std::move(action));
  AcknowledgeHandover(caller, actions);
  std::vector<packet> packets = TakeUnconfirmed(caller);
  for (packet& item : packets) {
    OnCallerPacket(&item, now, actions);
  }
}

void flow_core::AskForSync(absl::Time now, flow_actions* actions) {
  if (now < next_sync_) {
    return;
  }
  const std::vector<target_id> peers = history_.AwaitedPeers();
  if (peers.empty()) {
    return;
  }
  const std::size_t count = std::min(peers.size(), kMaxSyncAsksPerTick);
  for (std::size_t i = 0; i < count; ++i) {
    const target_id peer = peers[(sync_position_ + i) % peers.size()];
    Send(MakeHeader(packet_kind::kSyncAsk, endpoint{}), "", peer,
         flow_reason::kPeerMessage, actions);
  }
  sync_position_ += count;
  next_sync_ = RetryAt(now, sync_attempts_++);
}

void flow_core::OnSyncAsk(packet* item, absl::Time /*now*/,
                          flow_actions* actions) {
  const target_id asker = item->header.sender;
  if (!registrar_.HasPending(asker)) {
    Send(MakeHeader(packet_kind::kSyncDone, endpoint{}), "", asker,
         flow_reason::kPeerMessage, actions);
  }
}

void flow_core::OnSyncDone(packet* item, absl::Time now,
                           flow_actions* actions) {
  history_.OnSynced(item->header.sender, item->header.view_version);
  RetryPending(now, actions);
}

void flow_core::OnLoad(packet* item, absl::Time now,
                       flow_actions* /*actions*/) {
  loads_.OnPeerLoad(item->header, now);
}

}  // namespace cardamomroute
