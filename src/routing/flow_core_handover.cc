// Drain: flows move, with their state, to successors.
#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "routing/flow_core.h"
#include "routing/retry_backoff.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kMaxExportsPerTick = 64;

}  // namespace

bool flow_core::CanHandOver() const {
  return is_draining_ && IsMember() && !IsServing() &&
         routes().serving_count() > 0;
}

void flow_core::ExportFlows(flow_actions* actions) {
  if (!CanHandOver()) {
    return;
  }
  std::size_t count = 0;
  for (auto& [caller, flow] : held_) {
    if (flow.is_exporting || flow.is_unconfirmed) {
      continue;
    }
    if (++count > kMaxExportsPerTick) {
      return;
    }
    flow.is_exporting = true;
    AddExport(caller, actions);
  }
}

void flow_core::AddExport(const endpoint& caller, flow_actions* actions) {
  flow_action action;
  action.kind = flow_action_kind::kExport;
  action.reason = flow_reason::kHandedOver;
  action.header = MakeHeader(packet_kind::kHandover, caller);
  actions->push_back(std::move(action));
}

void flow_core::OnFlowIdle(const endpoint& caller, absl::Time /*now*/,
                           flow_actions* actions) {
  const auto found = held_.find(caller);
  if (found != held_.end() && found->second.is_exporting) {
    AddExport(caller, actions);
  }
}

void flow_core::OnFlowClosed(const endpoint& caller, absl::Time now,
                             flow_actions* actions) {
  const auto found = held_.find(caller);
  if (found == held_.end()) {
    return;
  }
  const held_flow flow = found->second;
  held_.erase(found);
  Bury(caller, flow.generation, now);
  if (flow.told_home != own_id_ && flow.told_home != 0) {
    registrar_.Queue(flow.told_home, packet_kind::kClosed,
                     {caller, flow.generation});
  }
  SendRegistrations(now, actions);
}

void flow_core::OnExported(const endpoint& caller, std::string state,
                           absl::Time now, flow_actions* actions) {
  const auto found = held_.find(caller);
  if (found == held_.end()) {
    return;
  }
  if (state.size() > kMaxStateBytes) {
    // No successor would take it: the flow ends, its next request begins anew.
    OnFlowClosed(caller, now, actions);
    return;
  }
  outgoing_flow flow;
  flow.generation = found->second.generation;
  flow.told_home = found->second.told_home;
  flow.sequence = ++last_handover_;
  flow.state = state_pieces(std::move(state));
  held_.erase(found);
  outgoing_flow& placed = outgoing_[caller] = std::move(flow);
  SendHandover(caller, &placed, now, actions);
}

target_id flow_core::ChooseSuccessor(const endpoint& caller,
                                     target_id refused) const {
  const uint64_t hash = HashOf(FlowOf(caller));
  const target_id home = routes().Home(hash);
  const target_id chosen =
      home != refused ? home : routes().Candidate(hash, home);
  const route_target* target = routes().Find(chosen);
  const bool can_take = target != nullptr && chosen != own_id_ &&
                        target->state == target_state::kServing;
  return can_take ? chosen : 0;
}

void flow_core::SendHandover(const endpoint& caller, outgoing_flow* flow,
                             absl::Time now, flow_actions* actions) {
  flow->retry_at = RetryAt(now, flow->attempts++);
  if (routes().Find(flow->successor) == nullptr) {
    flow->successor = ChooseSuccessor(caller, flow->refused_by);
    flow->state.StartAnew();
  }
  if (flow->successor == 0) {
    return;
  }
  flow->state.Repeat();
  SendPieces(caller, flow, actions);
}

void flow_core::SendPieces(const endpoint& caller, outgoing_flow* flow,
                           flow_actions* actions) {
  packet_header header = MakeHeader(packet_kind::kHandover, caller);
  header.generation = flow->generation + 1;
  header.sequence = flow->sequence;
  header.holder = flow->successor;
  header.pieces = flow->state.count();
  for (const uint32_t piece : flow->state.TakeDue()) {
    header.piece = piece;
    // One line in the log for a state, not one for each piece.
    Send(header, std::string(flow->state.Piece(piece)), flow->successor,
         piece == 0 ? flow_reason::kHandedOver : flow_reason::kPeerMessage,
         actions);
  }
}

void flow_core::RetryHandovers(absl::Time now, flow_actions* actions) {
  for (auto& [caller, flow] : outgoing_) {
    if (now >= flow.retry_at) {
      SendHandover(caller, &flow, now, actions);
    }
  }
}

void flow_core::OnHandover(packet* item, absl::Time now,
                           flow_actions* actions) {
  const packet_header& header = item->header;
  const endpoint& caller = header.flow.caller;
  const auto held = held_.find(caller);
  const auto outgoing = outgoing_.find(caller);
  const auto redirect = redirects_.find(caller);
  packet_header answer = MakeHeader(packet_kind::kHandoverDone, caller);
  answer.holder = own_id_;
  answer.generation = header.generation;
  answer.sequence = header.sequence;
  if (held != held_.end() && held->second.generation >= header.generation) {
    if (held->second.is_unconfirmed) {
      return;
    }
  } else if (outgoing != outgoing_.end() &&
             outgoing->second.generation >= header.generation) {
    answer.holder = own_id_;
  } else if (redirect != redirects_.end() &&
             redirect->second.generation >= header.generation) {
    answer.holder = redirect->second.holder;
  } else if (IsBuried(caller, header.generation)) {
    answer.holder = 0;
  } else if (is_draining_ || !IsServing()) {
    answer.kind = packet_kind::kHandoverRefused;
  } else {
    TakePiece(item, now, actions);
    return;
  }
  Send(std::move(answer), "", header.sender, flow_reason::kPeerMessage,
       actions);
}

void flow_core::TakePiece(packet* item, absl::Time now, flow_actions* actions) {
  packet_header& header = item->header;
  header.pieces = std::max(header.pieces, 1U);
  if (!assembler_.Take(header, std::move(item->payload), now)) {
    Drop(item, flow_reason::kBufferFull, actions);
    return;
  }
  packet_header answer =
      MakeHeader(packet_kind::kHandoverHeld, header.flow.caller);
  const held_pieces told = assembler_.Held(header);
  answer.sequence = header.sequence;
  answer.assembly = told.assembly;
  answer.piece = told.first_missing;
  answer.held_pieces = told.held;
  std::optional<std::string> state = assembler_.TakeWhole(header);
  if (header.pieces > 1) {
    Send(std::move(answer), "", header.sender, flow_reason::kPeerMessage,
         actions);
  }
  if (state) {
    item->payload = std::move(*state);
    Import(item, now, actions);
  }
}

outgoing_flow* flow_core::FindHandover(const packet_header& header) {
  const auto found = outgoing_.find(header.flow.caller);
  const bool is_meant = found != outgoing_.end() &&
                        found->second.sequence == header.sequence &&
                        found->second.successor == header.sender;
  return is_meant ? &found->second : nullptr;
}

void flow_core::OnHandoverHeld(packet* item, absl::Time now,
                               flow_actions* actions) {
  const packet_header& header = item->header;
  outgoing_flow* flow = FindHandover(header);
  if (flow == nullptr) {
    return;
  }
  if (!flow->state.OnHeld(
          {header.assembly, header.piece, header.held_pieces})) {
    return;
  }
  flow->attempts = 0;
  flow->retry_at = RetryAt(now, flow->attempts);
  SendPieces(header.flow.caller, flow, actions);
}

void flow_core::Import(packet* item, absl::Time now, flow_actions* actions) {
  const packet_header header = item->header;
  const endpoint& caller = header.flow.caller;
  if (held_.contains(caller)) {
    Abandon(caller, now, actions);
  }
  Hold(caller, header.generation, /*told_home=*/0);
  held_flow& flow = held_[caller];
  RegisterWithHome(caller, header.generation, &flow.told_home);
  flow.is_unconfirmed = flow.told_home != own_id_;
  unacknowledged_[caller] = header;
  flow_action action;
  action.kind = flow_action_kind::kImport;
  action.reason = flow_reason::kTakenOver;
  action.header = header;
  action.payload = std::move(item->payload);
  actions->push_back(std::move(action));
  if (!flow.is_unconfirmed) {
    AcknowledgeHandover(caller, actions);
  }
  ResolvePending(caller, now, actions);
  SendRegistrations(now, actions);
}

void flow_core::AcknowledgeHandover(const endpoint& caller,
                                    flow_actions* actions) {
  const auto found = unacknowledged_.find(caller);
  if (found == unacknowledged_.end()) {
    return;
  }
  const packet_header request = std::move(found->second);
  unacknowledged_.erase(found);
  packet_header answer = MakeHeader(packet_kind::kHandoverDone, caller);
  answer.holder = held_.contains(caller) ? own_id_ : 0;
  answer.generation = request.generation;
  answer.sequence = request.sequence;
  Send(std::move(answer), "", request.sender, flow_reason::kTakenOver, actions);
}

std::vector<packet> flow_core::TakeUnconfirmed(const endpoint& caller) {
  const auto found = unconfirmed_.find(caller);
  if (found == unconfirmed_.end()) {
    return {};
  }
  std::vector<packet> packets = found->second.TakeAll();
  unconfirmed_.erase(found);
  return packets;
}

void flow_core::Confirm(const endpoint& caller, absl::Time now,
                        flow_actions* actions) {
  held_flow& flow = held_[caller];
  if (!flow.is_unconfirmed) {
    return;
  }
  flow.is_unconfirmed = false;
  AcknowledgeHandover(caller, actions);
  std::vector<packet> packets = TakeUnconfirmed(caller);
  for (packet& item : packets) {
    OnCallerPacket(&item, now, actions);
  }
}

void flow_core::OnHandoverDone(packet* item, absl::Time now,
                               flow_actions* actions) {
  const packet_header& header = item->header;
  if (FindHandover(header) != nullptr) {
    FinishHandover(header.flow.caller, header.holder, header.generation, now,
                   actions);
  }
}

void flow_core::FinishHandover(const endpoint& caller, target_id holder,
                               uint64_t generation, absl::Time now,
                               flow_actions* actions) {
  const auto found = outgoing_.find(caller);
  Bury(caller, found->second.generation, now);
  std::vector<packet> packets = found->second.packets.TakeAll();
  outgoing_.erase(found);
  if (holder != 0) {
    flow_redirect redirect;
    redirect.holder = holder;
    redirect.generation = generation;
    redirect.expires = now + kRedirectLifetime;
    redirects_[caller] = redirect;
  }
  for (packet& item : packets) {
    OnCallerPacket(&item, now, actions);
  }
}

void flow_core::OnHandoverRefused(packet* item, absl::Time now,
                                  flow_actions* actions) {
  const packet_header& header = item->header;
  outgoing_flow* flow = FindHandover(header);
  if (flow == nullptr) {
    return;
  }
  flow->refused_by = header.sender;
  flow->successor = 0;
  SendHandover(header.flow.caller, flow, now, actions);
}

bool flow_core::IsDrained(absl::Time now) const {
  return is_draining_ && now >= drained_since_ + kRedirectLifetime;
}

}  // namespace cardamomroute
