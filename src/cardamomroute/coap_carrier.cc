#include "cardamomroute/coap_carrier.h"

#include <sodium.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/container/flat_hash_set.h"
#include "base/bytes.h"
#include "base/log.h"
#include "base/settings.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 32;
constexpr size_t kEchoKeyBytes = 32;
// Requests that may wait for each slot of the upstream.
constexpr size_t kQueuedPerSlot = 16;

request_core_settings CoreSettings(target_id own_id, uint32_t slots,
                                   const agent_settings& configured) {
  request_core_settings wanted;
  wanted.incarnation = own_id;
  wanted.slots = slots;
  wanted.queue_capacity = kQueuedPerSlot * slots;
  wanted.deadline_option = configured.deadline_option;
  randombytes_buf(&wanted.seed, sizeof(wanted.seed));
  wanted.echo_key.resize(kEchoKeyBytes);
  randombytes_buf(wanted.echo_key.data(), wanted.echo_key.size());
  return wanted;
}

}  // namespace

coap_carrier::coap_carrier(target_id own_id, uint32_t slots,
                           const agent_settings& configured, event_loop* loop,
                           carrier_host* host, metric_recorder* recorder)
    : own_id_(own_id),
      upstream_(configured.upstream),
      loop_(loop),
      host_(host),
      core_(CoreSettings(own_id, slots, configured)),
      times_(recorder),
      received_(kBatch) {}

coap_carrier::~coap_carrier() {
  for (const auto& [leg, socket] : legs_) {
    loop_->Unwatch(socket.fd());
  }
}

void coap_carrier::OnView(const view& current, const service& own) {
  absl::flat_hash_set<target_id> live;
  std::vector<target_id> serving;
  for (const target& candidate : current.targets) {
    if (candidate.service == own.id) {
      live.insert(candidate.id);
      if (candidate.state == target_state::kServing) {
        serving.push_back(candidate.id);
      }
    }
  }
  const bool lost =
      std::any_of(serving_.begin(), serving_.end(),
                  [&live](target_id known) { return live.count(known) == 0; });
  if (lost) {
    core_.OnTargetLost(SteadyNow());
  }
  core_.OnServiceCalls(own.calls);
  core_.OnLiveTargets(std::move(live));
  serving_ = std::move(serving);
}

void coap_carrier::OnLease(absl::Time valid_until) {
  core_.OnLease(valid_until);
}

void coap_carrier::OnCallerDatagram(const flow_key& flow,
                                    std::string_view datagram, absl::Time now) {
  Perform(core_.OnCallerMessage(flow, datagram, now));
}

void coap_carrier::OnPassedOn(const flow_key& flow, std::string_view datagram,
                              absl::Time now) {
  Perform(core_.OnForwardedMessage(flow, datagram, now));
}

absl::Time coap_carrier::OnTick(absl::Time now) {
  Perform(core_.OnTick(now));
  return core_.NextDeadline();
}

carrier_load coap_carrier::Load() const {
  const request_load load = core_.Load();
  return {load.used, load.limit, load.queued, load.observing_flows};
}

void coap_carrier::BeginDrain(absl::Time now) {
  Perform(core_.BeginDrain(now));
}

std::optional<std::string> coap_carrier::ExportFlow(const flow_key& flow,
                                                    absl::Time now) {
  return core_.ExportFlow(flow, now);
}

void coap_carrier::ImportFlow(const flow_key& flow, std::string_view state,
                              absl::Time now) {
  auto imported = core_.ImportFlow(flow, state, now);
  if (imported.has_value()) {
    Perform(imported.value());
  }
}

void coap_carrier::DropFlow(const flow_key& flow, absl::Time now) {
  Perform(core_.DropFlow(flow, now));
}

void coap_carrier::Perform(const request_actions& actions) {
  for (const request_action& action : actions) {
    std::visit([this](const auto& chosen) { Do(chosen); }, action);
  }
}

void coap_carrier::Do(const send_to_caller& action) {
  host_->SendToCaller(action.flow, action.datagram);
}

void coap_carrier::Do(const send_to_upstream& action) {
  const auto leg = legs_.find(action.leg);
  if (leg != legs_.end()) {
    leg->second.Send(AsBytes(action.datagram));
  }
}

void coap_carrier::Do(const open_leg& action) {
  auto opened = udp_socket::Connect(upstream_);
  if (opened.has_error()) {
    log_line(log_level::kError, "leg").With("error", Describe(opened.error()));
    return;
  }
  const leg_id leg = action.leg;
  udp_socket& socket = legs_[leg];
  socket = std::move(opened).value();
  loop_->Watch(socket.fd(), [this, leg] { Receive(leg); });
}

void coap_carrier::Do(const close_leg& action) {
  const auto leg = legs_.find(action.leg);
  if (leg != legs_.end()) {
    loop_->Unwatch(leg->second.fd());
    legs_.erase(leg);
  }
}

void coap_carrier::Do(const flow_idle& action) { host_->FlowIdle(action.flow); }

void coap_carrier::Do(const flow_closed& action) {
  host_->FlowClosed(action.flow);
}

void coap_carrier::Do(const forward_to_holder& action) {
  host_->ForwardToHolder(action.flow, action.holder, action.datagram);
}

void coap_carrier::Do(const request_decision& action) {
  times_.OnDecision(action, SteadyNow());
  if (!IsLogged(log_level::kInfo)) {
    return;
  }
  log_line(log_level::kInfo, "request")
      .With("flow", ToString(action.flow.caller))
      .With("service", action.flow.service)
      .With("target", own_id_)
      .With("call", action.call)
      .With("request", action.request)
      .With("decision", NameOf(action.decision))
      .With("reason", NameOf(action.reason));
}

void coap_carrier::Receive(leg_id leg) {
  const auto found = legs_.find(leg);
  if (found == legs_.end()) {
    return;
  }
  found->second.Receive(&received_);
  const absl::Time now = SteadyNow();
  if (found->second.TakeRefused()) {
    log_line(log_level::kWarn, "upstream-gone").With("target", own_id_);
    Perform(core_.OnUpstreamGone(now));
    return;
  }
  for (size_t i = 0; i < received_.size(); ++i) {
    Perform(core_.OnUpstreamMessage(leg, AsText(received_.Bytes(i)), now));
  }
}

}  // namespace cardamomroute
