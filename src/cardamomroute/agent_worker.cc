#include "cardamomroute/agent_worker.h"

#include <algorithm>
#include <array>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "cardamomroute/coap_carrier.h"
#include "cardamomroute/datagram_carrier.h"
#include "cardamomroute/steady_time.h"
#include "inner/packet_codec.h"
#include "routing/packet_codec.h"
#include "routing/placement_strategy.h"
#include "view/view_codec.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 64;
constexpr absl::Duration kTickInterval = absl::Milliseconds(10);
// When a caller whose flow is refused shall come back, seconds.
constexpr uint32_t kRefusedMaxAge = 1;

}  // namespace

agent_worker::agent_worker(const settings& configured, agent_requests requests)
    : settings_(configured),
      requests_(std::move(requests)),
      mailbox_([this] { loop_.Wake(); }),
      received_(kBatch),
      sent_(kBatch) {}

agent_worker::~agent_worker() = default;

result<void> agent_worker::Open() {
  BOOST_OUTCOME_TRY(opened, udp_socket::Bind(settings_.agent.inner));
  inner_ = std::move(opened);
  loop_.Watch(inner_.fd(), [this] { Receive(); });
  loop_.OnTick([this] { return Tick(); });
  return boost::outcome_v2::success();
}

void agent_worker::Drain() {
  drain_asked_.store(true);
  loop_.Wake();
}

void agent_worker::Receive() {
  inner_.Receive(&received_);
  const absl::Time now = SteadyNow();
  for (size_t i = 0; i < received_.size(); ++i) {
    recorder_.Add(metric::kAgentPacketsIn);
    recorder_.Add(metric::kAgentPacketsDropped, TakePacket(i, now) ? 0 : 1);
  }
  PerformAll();
}

bool agent_worker::TakePacket(size_t index, absl::Time now) {
  const auto payload = inner::DecodePacket(received_.Bytes(index), &message_);
  if (payload.has_error() || flows_ == nullptr) {
    return false;
  }
  auto header = DecodeHeader(message_);
  if (header.has_error()) {
    return false;
  }
  if (header.value().kind == packet_kind::kFromCaller &&
      header.value().balancer.port != 0) {
    balancers_.OnPacket(header.value().flow, header.value().balancer);
  }
  if (header.value().kind == packet_kind::kPassedOn) {
    TakePassedOn(header.value(), AsText(payload.value()), now);
    return true;
  }
  flows_->OnPacket(std::move(header).value(),
                   std::string(AsText(payload.value())), now, &actions_);
  return true;
}

void agent_worker::TakePassedOn(const packet_header& header,
                                std::string_view datagram, absl::Time now) {
  // Ids of incarnations are never reused, so this is a flow of our service.
  if (header.receiver != own_id_) {
    return;
  }
  if (header.balancer.port != 0) {
    balancers_.OnPacket(header.flow, header.balancer);
  }
  carrier_->OnPassedOn(header.flow, datagram, now);
}

void agent_worker::TakeNodeEvents() {
  for (const node_event& event : mailbox_.TakeAll()) {
    if (event.own_id != 0) {
      own_id_ = event.own_id;
    }
    if (event.change != nullptr &&
        ApplyChange(&view_, *event.change).has_value()) {
      TakeView();
    }
    if (flows_ != nullptr) {
      flows_->OnCurrentVersion(event.current_version, event.asked_at);
      carrier_->OnLease(flows_->lease().valid_until());
    }
  }
}

void agent_worker::TakeView() {
  balancers_.OnView(view_);
  const target* own = view_.FindTarget(own_id_);
  const service* own_service =
      own != nullptr ? view_.FindService(own->service) : nullptr;
  if (flows_ == nullptr && own_service != nullptr) {
    Join(*own, *own_service);
  }
  if (flows_ == nullptr) {
    return;
  }
  if (own_service != nullptr) {
    carrier_->OnView(view_, *own_service);
    refusals_.OnService(*own_service);
  }
  if (own != nullptr && own->state == target_state::kDraining) {
    drain_asked_.store(true);
  }
  flows_->OnView(view_, SteadyNow(), &actions_);
}

void agent_worker::Join(const target& own, const service& own_service) {
  if (own_service.protocol == service_protocol::kCoap) {
    carrier_ = std::make_unique<coap_carrier>(
        own_id_, own.slots, settings_.agent, &loop_, this, &recorder_);
    if (!settings_.agent.report_path.empty()) {
      reports_ = std::make_unique<report_leg>(settings_.agent.upstream,
                                              settings_.agent.report_path,
                                              own.slots, &loop_);
    }
  } else {
    carrier_ = std::make_unique<datagram_carrier>(settings_.agent.upstream,
                                                  &loop_, this);
  }
  flows_ = std::make_unique<flow_core>(own_id_, own_service.id,
                                       &MeasuredLoadPlacement());
  log_line(log_level::kInfo, "joined")
      .With("target", own_id_)
      .With("service", own_service.name)
      .With("view", view_.version);
}

agent_worker::performer agent_worker::PerformerOf(flow_action_kind kind) {
  static constexpr std::array<performer, 9> kPerformers = {
      &agent_worker::Deliver, &agent_worker::SendToAgent,
      &agent_worker::Refuse,  &agent_worker::Export,
      &agent_worker::Import,  &agent_worker::Abandon,
      &agent_worker::PullNow, &agent_worker::AnnounceAnew,
      &agent_worker::LogOnly,
  };
  return kPerformers.at(static_cast<size_t>(kind));
}

void agent_worker::PerformAll() {
  // Carrying out an action may lead to further ones.
  while (!actions_.empty()) {
    flow_actions due = std::exchange(actions_, {});
    for (flow_action& action : due) {
      CountAction(action);
      LogAction(action);
      (this->*PerformerOf(action.kind))(&action);
    }
  }
  if (std::exchange(removed_, false)) {
    Reset();
    requests_.announce_anew();
  }
}

void agent_worker::Deliver(flow_action* action) {
  if (carrier_ != nullptr) {
    carrier_->OnCallerDatagram(action->header.flow, action->payload,
                               SteadyNow());
  }
}

void agent_worker::SendToAgent(flow_action* action) {
  Send(action->header, action->payload, action->agent);
}

void agent_worker::Refuse(flow_action* action) {
  const flow_key& flow = action->header.flow;
  const std::string answer =
      refusals_.Write(flow.service, action->payload, kRefusedMaxAge);
  if (!answer.empty()) {
    SendToCaller(flow, answer);
  }
}

void agent_worker::Export(flow_action* action) {
  const absl::Time now = SteadyNow();
  const flow_key& flow = action->header.flow;
  auto state = carrier_->ExportFlow(flow, now);
  if (state.has_value()) {
    recorder_.Add(metric::kFlowsHandedOver);
    flows_->OnExported(flow.caller, std::move(*state), now, &actions_);
  }
}

void agent_worker::Import(flow_action* action) {
  carrier_->ImportFlow(action->header.flow, action->payload, SteadyNow());
}

void agent_worker::Abandon(flow_action* action) {
  carrier_->DropFlow(action->header.flow, SteadyNow());
  balancers_.Forget(action->header.flow);
}

void agent_worker::PullNow(flow_action* /*action*/) { requests_.pull_now(); }

void agent_worker::AnnounceAnew(flow_action* /*action*/) {
  if (draining_) {
    return;
  }
  log_line(log_level::kWarn, "removed").With("target", own_id_);
  removed_ = true;
}

void agent_worker::Reset() {
  actions_.clear();
  flows_.reset();
  carrier_.reset();
  reports_.reset();
  own_id_ = 0;
}

void agent_worker::LogOnly(flow_action* /*action*/) {}

void agent_worker::CountAction(const flow_action& action) {
  switch (action.kind) {
    case flow_action_kind::kDeliver:
      recorder_.Add(metric::kFlowsPlacedHere, action.is_new ? 1 : 0);
      break;
    case flow_action_kind::kSend:
      recorder_.Add(metric::kFlowsPlacedElsewhere,
                    action.reason == flow_reason::kPlacedOnCandidate ? 1 : 0);
      recorder_.Add(metric::kFlowsRedirected,
                    action.reason == flow_reason::kRedirected ? 1 : 0);
      break;
    case flow_action_kind::kRefuse:
      recorder_.Add(metric::kFlowsRefused);
      break;
    case flow_action_kind::kImport:
      recorder_.Add(metric::kFlowsTakenOver);
      break;
    case flow_action_kind::kAbandon:
      recorder_.Add(metric::kFlowsSuperseded);
      break;
    case flow_action_kind::kDrop:
      recorder_.Add(metric::kAgentPacketsDropped);
      break;
    default:
      break;
  }
}

void agent_worker::LogAction(const flow_action& action) const {
  const bool routine = action.reason == flow_reason::kHeldHere ||
                       action.reason == flow_reason::kPeerMessage;
  const log_level level = routine ? log_level::kDebug : log_level::kInfo;
  // Spares each packet of a held flow the text of its address.
  if (!IsLogged(level)) {
    return;
  }
  log_line(level, "flow")
      .With("flow", ToString(action.header.flow.caller))
      .With("service", action.header.flow.service)
      .With("target", own_id_)
      .With("to", action.to)
      .With("reason", kFlowReasonNames.at(static_cast<size_t>(action.reason)))
      .With("view", view_.version);
}

void agent_worker::Send(const packet_header& header, std::string_view payload,
                        const endpoint& to) {
  if (sent_.full()) {
    inner_.Send(&sent_);
  }
  EncodeHeader(header, &message_);
  inner::EncodePacket(message_, AsBytes(payload), sent_.Add(to));
}

packet_header agent_worker::MakeHeader(packet_kind kind,
                                       const flow_key& flow) const {
  packet_header header;
  header.kind = kind;
  header.flow = flow;
  header.view_version = view_.version;
  header.sender = own_id_;
  return header;
}

void agent_worker::SendToCaller(const flow_key& flow,
                                std::string_view datagram) {
  const endpoint* balancer = balancers_.Choose(flow);
  if (balancer == nullptr) {
    return;
  }
  packet_header header = MakeHeader(packet_kind::kToCaller, flow);
  header.holder =
      flows_ != nullptr && flows_->IsHeld(flow.caller) ? own_id_ : 0;
  Send(header, datagram, *balancer);
}

void agent_worker::FlowIdle(const flow_key& flow) {
  flows_->OnFlowIdle(flow.caller, SteadyNow(), &actions_);
}

void agent_worker::FlowClosed(const flow_key& flow) {
  recorder_.Add(metric::kFlowsClosed);
  flows_->OnFlowClosed(flow.caller, SteadyNow(), &actions_);
  balancers_.Forget(flow);
}

void agent_worker::ForwardToHolder(const flow_key& flow, target_id holder,
                                   std::string_view datagram) {
  const target* other = view_.FindTarget(holder);
  if (other == nullptr) {
    return;
  }
  packet_header header = MakeHeader(packet_kind::kPassedOn, flow);
  header.receiver = holder;
  const endpoint* balancer = balancers_.Choose(flow);
  if (balancer != nullptr) {
    header.balancer = *balancer;
  }
  Send(header, datagram, other->agent);
}

void agent_worker::StartDrainIfAsked(absl::Time now) {
  if (!drain_asked_.load() || draining_) {
    return;
  }
  draining_ = true;
  log_line(log_level::kInfo, "draining")
      .With("target", own_id_)
      .With("view", view_.version);
  if (flows_ != nullptr) {
    carrier_->BeginDrain(now);
    flows_->BeginDrain();
  }
}

void agent_worker::TakeLoad(absl::Time now) {
  const carrier_load load = carrier_->Load();
  flows_->OnLocalLoad(load.busy_slots, load.slots, load.queued, now);
  flows_->OnObservingFlows(load.observing_flows);
  recorder_.Set(metric::kSlotsInUse, load.busy_slots);
  recorder_.Set(metric::kSlots, load.slots);
  recorder_.Set(metric::kRequestsWaiting, load.queued);
  recorder_.Set(metric::kFlowsHeld, flows_->held_flows());
  recorder_.Set(metric::kRedirectsHeld, flows_->redirects());
  if (reports_ != nullptr) {
    flows_->OnLocalReport(reports_->OnTick(load.busy_slots, now));
  }
}

absl::Time agent_worker::Tick() {
  const absl::Time now = SteadyNow();
  TakeNodeEvents();
  StartDrainIfAsked(now);
  absl::Time next = absl::InfiniteFuture();
  if (flows_ != nullptr) {
    TakeLoad(now);
    flows_->OnTick(now, &actions_);
    next = std::min(carrier_->OnTick(now), now + kTickInterval);
  }
  PerformAll();
  inner_.Send(&sent_);
  if (draining_ && (flows_ == nullptr || flows_->IsDrained(now))) {
    drained_.store(true);
  }
  return next;
}

}  // namespace cardamomroute
