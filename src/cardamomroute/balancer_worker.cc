#include "cardamomroute/balancer_worker.h"

#include <string>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "cardamomroute/direct_edge.h"
#include "cardamomroute/proxied_edge.h"
#include "cardamomroute/steady_time.h"
#include "inner/packet_codec.h"
#include "routing/packet_codec.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 64;
constexpr size_t kCachedFlows = 400000;
// When a caller whose new flow is refused shall come back, seconds.
constexpr uint32_t kRefusedMaxAge = 2;

}  // namespace

balancer_worker::balancer_worker(const settings& configured,
                                 std::function<void()> pull_now)
    : settings_(configured),
      pull_now_(std::move(pull_now)),
      mailbox_([this] { loop_.Wake(); }),
      core_(configured.balancer.inner, kCachedFlows),
      from_agents_(kBatch),
      to_agents_(kBatch) {}

result<void> balancer_worker::Open() {
  const bool shared = settings_.balancer.traffic_threads > 1;
  auto on_datagram = [this](const endpoint& service, const endpoint& caller,
                            absl::Span<const uint8_t> payload) {
    ForwardOne(service, caller, payload);
  };
  if (settings_.balancer.edge == edge_mode::kDirect) {
    edge_ = std::make_unique<direct_edge>(shared, &loop_, on_datagram);
  } else {
    edge_ = std::make_unique<proxied_edge>(settings_.balancer, &loop_,
                                           &recorder_, on_datagram);
  }
  BOOST_OUTCOME_TRY(edge_->Open());
  BOOST_OUTCOME_TRY(inner, udp_socket::Bind(settings_.balancer.inner, shared));
  inner_ = std::move(inner);
  loop_.Watch(inner_.fd(), [this] { ReceiveFromAgents(); });
  loop_.OnTick([this] { return Flush(); });
  return boost::outcome_v2::success();
}

void balancer_worker::Run() { loop_.Run(); }

absl::Time balancer_worker::last_packet() const {
  return absl::FromUnixNanos(last_packet_ns_.load(std::memory_order_relaxed));
}

void balancer_worker::TakeNodeEvents() {
  for (const node_event& event : mailbox_.TakeAll()) {
    if (event.change != nullptr) {
      if (core_.OnChange(*event.change)) {
        refusals_.OnChange(*event.change);
      }
      edge_->OnChange(*event.change);
    }
    core_.OnCurrentVersion(event.current_version, event.asked_at);
  }
}

void balancer_worker::ForwardOne(const endpoint& service,
                                 const endpoint& caller,
                                 absl::Span<const uint8_t> payload) {
  const absl::Time now = SteadyNow();
  last_packet_ns_.store(absl::ToUnixNanos(now), std::memory_order_relaxed);
  const balancer_decision decision = core_.OnPacket(caller, service, now);
  CountDecision(decision);
  if (!decision.is_cached) {
    LogDecision(decision);
  }
  if (decision.verdict == balancer_verdict::kRefuse) {
    Refuse(decision, service, payload);
  }
  if (decision.verdict != balancer_verdict::kForward) {
    return;
  }
  if (to_agents_.full()) {
    SendToAgents();
  }
  EncodeHeader(decision.header, &message_);
  inner::EncodePacket(message_, payload, to_agents_.Add(decision.agent));
}

void balancer_worker::CountDecision(const balancer_decision& decision) {
  recorder_.Add(metric::kPacketsIn);
  switch (decision.verdict) {
    case balancer_verdict::kForward:
      recorder_.Add(metric::kPacketsForwarded);
      recorder_.Add(metric::kPacketsToHome, decision.is_cached ? 0 : 1);
      break;
    case balancer_verdict::kRefuse:
      recorder_.Add(decision.reason == error_kind::kStaleView
                        ? metric::kPacketsRefusedStaleView
                        : metric::kPacketsRefusedNoTarget);
      break;
    case balancer_verdict::kDrop:
      recorder_.Add(metric::kPacketsDropped);
      break;
  }
}

void balancer_worker::Refuse(const balancer_decision& decision,
                             const endpoint& service,
                             absl::Span<const uint8_t> request) {
  const std::string answer = refusals_.Write(decision.header.flow.service,
                                             AsText(request), kRefusedMaxAge);
  if (!answer.empty()) {
    edge_->Send(service, decision.header.flow.caller, AsBytes(answer));
  }
}

void balancer_worker::LogDecision(const balancer_decision& decision) const {
  const bool forwarded = decision.verdict == balancer_verdict::kForward;
  const log_level level = forwarded ? log_level::kDebug : log_level::kInfo;
  if (!IsLogged(level)) {
    return;
  }
  log_line(level, "route")
      .With("flow", ToString(decision.header.flow.caller))
      .With("service", decision.header.flow.service)
      .With("target", decision.agent_id)
      .With("reason", forwarded ? "home" : CodeOf(decision.reason))
      .With("view", core_.view_version());
}

void balancer_worker::ReceiveFromAgents() {
  inner_.Receive(&from_agents_);
  recorder_.Add(metric::kBatchesFromAgents);
  for (size_t i = 0; i < from_agents_.size(); ++i) {
    recorder_.Add(ReturnOne(i) ? metric::kAnswersDelivered
                               : metric::kAnswersDropped);
  }
}

bool balancer_worker::ReturnOne(size_t index) {
  const auto payload =
      inner::DecodePacket(from_agents_.Bytes(index), &message_);
  if (payload.has_error()) {
    return false;
  }
  const auto header = DecodeHeader(message_);
  if (header.has_error()) {
    return false;
  }
  const balancer_answer answer = core_.OnAnswer(header.value());
  if (answer.pull_now) {
    pull_now_();
  }
  if (answer.deliver) {
    edge_->Send(answer.service_address, answer.caller, payload.value());
  }
  return answer.deliver;
}

void balancer_worker::SendToAgents() {
  if (to_agents_.size() > 0) {
    recorder_.Add(metric::kBatchesToAgents);
    inner_.Send(&to_agents_);
  }
}

absl::Time balancer_worker::Flush() {
  TakeNodeEvents();
  SendToAgents();
  edge_->Flush();
  return absl::InfiniteFuture();
}

}  // namespace cardamomroute
