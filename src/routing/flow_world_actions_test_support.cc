// What the fake network does with the actions of the flow cores.
#include "routing/flow_world_test_support.h"
#include "routing/packet_codec.h"
#include "routing/world_messages_test_support.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kExportBusyTime = absl::Milliseconds(50);
constexpr double kExportBusyShare = 0.2;
/// The least MTU of IPv6 without the headers of IPv6 and UDP.
constexpr std::size_t kLargestPayload = 1232;

}  // namespace

void flow_world::Transmit(const endpoint& to, const packet_header& header,
                          const std::string& payload) {
  ++counts_.messages;
  inner::packet_header encoded;
  EncodeHeader(header, &encoded);
  const bool fits = encoded.ByteSizeLong() + payload.size() <= kLargestPayload;
  counts_.oversized += header.kind == packet_kind::kHandover && !fits ? 1 : 0;
  const int copies = Chance(options_.loss)          ? 0
                     : Chance(options_.duplication) ? 2
                                                    : 1;
  for (int i = 0; i < copies; ++i) {
    events_.At(now() + RandomDelay(options_.max_delay), [=] {
      const auto receiver = by_address_.find(to);
      if (receiver == by_address_.end()) {
        return;
      }
      const target_id id = receiver->second;
      flow_actions actions;
      FindAgent(id)->core->OnPacket(header, payload, now(), &actions);
      Carry(id, &actions);
    });
  }
}

void flow_world::Carry(target_id id, flow_actions* actions) {
  agent* from = FindAgent(id);
  for (std::size_t i = 0; i < actions->size(); ++i) {
    flow_action action = (*actions)[i];
    CarryOne(from, &action);
  }
}

void flow_world::CarryOne(agent* from, flow_action* action) {
  switch (action->kind) {
    case flow_action_kind::kDeliver:
      OnDeliver(from, *action);
      break;
    case flow_action_kind::kSend:
      OnSend(from, *action);
      break;
    case flow_action_kind::kRefuse:
      decided_[FromPayload(action->payload).at(0)] = true;
      ++counts_.refused;
      break;
    case flow_action_kind::kExport:
      OnExport(from, *action);
      break;
    case flow_action_kind::kImport:
      OnImport(from, *action);
      break;
    case flow_action_kind::kAbandon:
      OnAbandon(from, *action);
      break;
    case flow_action_kind::kPullNow:
      PullAgent(from->id);
      break;
    case flow_action_kind::kRemoved:
    case flow_action_kind::kDrop:
      ++counts_.dropped;
      break;
  }
}

void flow_world::OnSend(agent* /*from*/, const flow_action& action) {
  if (action.header.kind == packet_kind::kRegister) {
    ++counts_.registrations;
    counts_.registered_flows += action.header.flows.size();
  }
  Transmit(action.agent, action.header, action.payload);
}

bool flow_world::HadLeftWhenSent(uint64_t serial, target_id id) const {
  const auto left = left_in_.find(id);
  return left != left_in_.end() && left->second <= sent_under_.at(serial);
}

void flow_world::OnDeliver(agent* at, const flow_action& action) {
  const packet_header& header = action.header;
  const uint64_t serial = FromPayload(action.payload).at(0);
  decided_[serial] = true;
  ++counts_.delivered;
  // Under a later view than its own a target goes on with flows that it holds
  // where the balancer's view has it; it takes none.
  const bool is_behind = header.view_version > at->core->view_version();
  const bool goes_on = !action.is_new && header.receiver == at->id;
  if (header.flow.service != at->service || (is_behind && !goes_on) ||
      HadLeftWhenSent(serial, at->id)) {
    ++counts_.misdelivered;
  }
  truths_.OnDeliver(header.flow, at->id, action.is_new, serial,
                    &at->states[header.flow.caller]);
  AnswerThroughBalancers(*at, header);
}

/// All balancers hear of the holder; each may find that its view is old.
void flow_world::AnswerThroughBalancers(const agent& at,
                                        const packet_header& header) {
  for (fake_balancer& balancer : balancers_) {
    packet_header answer = header;
    answer.kind = packet_kind::kToCaller;
    answer.holder = at.id;
    answer.view_version = at.core->view_version();
    if (balancer.core->OnAnswer(answer).pull_now && Chance(0.5)) {
      PullBalancer(static_cast<int>(&balancer - balancers_.data()));
    }
  }
}

void flow_world::OnExport(agent* at, const flow_action& action) {
  const endpoint caller = action.header.flow.caller;
  const target_id id = at->id;
  if (Chance(kExportBusyShare)) {
    events_.At(now() + kExportBusyTime, [this, id, caller] {
      agent* holder = FindAgent(id);
      flow_actions actions;
      if (holder != nullptr) {
        holder->core->OnFlowIdle(caller, now(), &actions);
        Carry(id, &actions);
      }
    });
    return;
  }
  const auto state = at->states.find(caller);
  if (state == at->states.end()) {
    return;
  }
  const std::string payload = MakeFiller(state->second, options_.state_bytes) +
                              ToPayload(state->second);
  at->states.erase(state);
  truths_.OnExport(action.header.flow, id);
  ++counts_.handed_over;
  flow_actions actions;
  at->core->OnExported(caller, payload, now(), &actions);
  Carry(id, &actions);
}

void flow_world::OnImport(agent* at, const flow_action& action) {
  const bool is_whole = action.payload.size() >= options_.state_bytes;
  const flow_state state =
      is_whole ? FromPayload(action.payload.substr(options_.state_bytes))
               : flow_state{};
  const std::string expected =
      MakeFiller(state, options_.state_bytes) + ToPayload(state);
  counts_.broken += action.payload != expected ? 1 : 0;
  at->states[action.header.flow.caller] = state;
  truths_.OnImport(action.header.flow, at->id, state);
}

void flow_world::OnAbandon(agent* at, const flow_action& action) {
  at->states.erase(action.header.flow.caller);
  truths_.OnAbandon(action.header.flow, at->id);
}

}  // namespace cardamomroute
