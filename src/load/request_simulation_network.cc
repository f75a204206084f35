// The network of the request simulation: what becomes of each datagram.
#include <algorithm>

#include "load/request_simulation.h"

namespace cardamomroute::load {
namespace {

constexpr double kFaultShare = 0.03;
constexpr absl::Duration kLongestLateDelay = absl::Seconds(9);

}  // namespace

absl::Duration request_simulation::NetworkDelay() {
  std::uniform_real_distribution<double> ms(0.5, 2.0);
  return absl::Milliseconds(ms(random_));
}

void request_simulation::Transmit(size_t index, const std::string& datagram) {
  const flow_key flow = ledger_.At(index).flow;
  const double share = settings_.faults ? kFaultShare : 0;
  if (Happens(share)) {
    return;
  }
  const int copies = Happens(share) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const absl::Duration late =
        Happens(share) ? kLongestLateDelay : absl::ZeroDuration();
    After(NetworkDelay() + late, [=] { ToTarget(flow, datagram); });
  }
}

void request_simulation::ToTarget(const flow_key& flow,
                                  const std::string& datagram) {
  if (in_transit_.count(flow) > 0) {
    After(absl::Milliseconds(1), [=] { ToTarget(flow, datagram); });
    return;
  }
  const size_t target = HolderOf(flow);
  if (alive_[target]) {
    Carry(target, servers_[target]->OnCaller(flow, datagram, false, now()));
  }
}

void request_simulation::Carry(size_t target, const server_output& output) {
  const double share = settings_.faults ? kFaultShare : 0;
  for (const auto& [flow, datagram] : output.to_callers) {
    if (!Happens(share)) {
      const flow_key to = flow;
      const std::string bytes = datagram;
      After(NetworkDelay(), [=] { ToCaller(to, bytes); });
    }
  }
  for (size_t i = 0; i < output.forwarded.size(); ++i) {
    const auto& [flow, datagram] = output.forwarded[i];
    ForwardOne(output.forwarded_to[i] - kFirstTarget, flow, datagram);
  }
  for (const flow_key& flow : output.idle) {
    At(now(), [=] { HandOver(target, flow); });
  }
  for (const finished_run& run : output.runs) {
    ledger_.OnRun(run.request, target, run.work, now());
  }
  Wake(target);
}

void request_simulation::ForwardOne(size_t target, const flow_key& flow,
                                    const std::string& datagram) {
  After(NetworkDelay(), [=] {
    if (alive_[target]) {
      Carry(target, servers_[target]->OnCaller(flow, datagram, true, now()));
    }
  });
}

void request_simulation::Wake(size_t target) {
  const absl::Time due = servers_[target]->NextDeadline();
  if (due >= wake_at_[target]) {
    return;
  }
  wake_at_[target] = due;
  At(std::max(due, now()), [=] {
    if (wake_at_[target] != due) {
      return;
    }
    wake_at_[target] = absl::InfiniteFuture();
    if (alive_[target]) {
      Carry(target, servers_[target]->OnTick(now()));
    }
  });
}

void request_simulation::ToCaller(const flow_key& flow,
                                  const std::string& datagram) {
  const coap_message message = ParseCoap(datagram).value();
  if (message.type == message_type::kConfirmable) {
    coap_message ack;
    ack.type = message_type::kAcknowledgement;
    ack.id = message.id;
    After(NetworkDelay(), [=] { ToTarget(flow, SerializeCoap(ack)); });
  }
  const auto open = open_.find({flow, message.token});
  if (!IsResponse(message) || open == open_.end()) {
    return;
  }
  const size_t index = open->second;
  open_.erase(open);
  const message_option* echo = FindOption(message, option_number::kEcho);
  if (message.code == kUnauthorizedCode && echo != nullptr) {
    Try(index, echo->value);
    return;
  }
  Conclude(index, message);
}

}  // namespace cardamomroute::load
