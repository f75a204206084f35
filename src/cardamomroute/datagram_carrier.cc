#include "cardamomroute/datagram_carrier.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/bytes.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 16;
// A flow without a datagram for this long has ended (RFC 4787, REQ-5).
constexpr absl::Duration kIdleTimeout = absl::Minutes(5);
constexpr absl::Duration kSweepInterval = absl::Seconds(10);
// The same while draining, and the longest drain.
constexpr absl::Duration kDrainIdleTimeout = absl::Seconds(15);
constexpr absl::Duration kDrainSweepInterval = absl::Seconds(1);
constexpr absl::Duration kLongestDrain = absl::Seconds(90);

}  // namespace

datagram_carrier::datagram_carrier(const endpoint& upstream, event_loop* loop,
                                   carrier_host* host)
    : upstream_(upstream), loop_(loop), host_(host), received_(kBatch) {}

void datagram_carrier::OnView(const view& /*current*/, const service& /*own*/) {
}

// It answers nothing by itself.
void datagram_carrier::OnLease(absl::Time /*valid_until*/) {}

void datagram_carrier::OnCallerDatagram(const flow_key& flow,
                                        std::string_view datagram,
                                        absl::Time now) {
  leg* held = FindOrOpen(flow, now);
  if (held != nullptr) {
    held->idle_deadline = IdleDeadline(now);
    held->socket.Send(AsBytes(datagram));
  }
}

void datagram_carrier::OnPassedOn(const flow_key& /*flow*/,
                                  std::string_view /*datagram*/,
                                  absl::Time /*now*/) {}

absl::Time datagram_carrier::IdleDeadline(absl::Time now) const {
  const bool draining = drain_deadline_ != absl::InfiniteFuture();
  return std::min(drain_deadline_,
                  now + (draining ? kDrainIdleTimeout : kIdleTimeout));
}

datagram_carrier::leg* datagram_carrier::FindOrOpen(const flow_key& flow,
                                                    absl::Time now) {
  const auto found = legs_.find(flow);
  if (found != legs_.end()) {
    return &found->second;
  }
  auto opened = udp_socket::Connect(upstream_);
  if (opened.has_error()) {
    return nullptr;
  }
  leg* added = &legs_[flow];
  *added = {std::move(opened).value(), IdleDeadline(now)};
  loop_->Watch(added->socket.fd(), [this, flow] { Receive(flow); });
  return added;
}

void datagram_carrier::Receive(const flow_key& flow) {
  leg& held = legs_.at(flow);
  held.socket.Receive(&received_);
  held.idle_deadline = IdleDeadline(SteadyNow());
  for (size_t i = 0; i < received_.size(); ++i) {
    host_->SendToCaller(flow, AsText(received_.Bytes(i)));
  }
}

absl::Time datagram_carrier::OnTick(absl::Time now) {
  if (now < next_sweep_) {
    return next_sweep_;
  }
  next_sweep_ =
      now + (drain_deadline_ == absl::InfiniteFuture() ? kSweepInterval
                                                       : kDrainSweepInterval);
  std::vector<flow_key> idle;
  for (const auto& [flow, held] : legs_) {
    if (held.idle_deadline <= now) {
      idle.push_back(flow);
    }
  }
  for (const flow_key& flow : idle) {
    Close(flow);
    host_->FlowClosed(flow);
  }
  return next_sweep_;
}

carrier_load datagram_carrier::Load() const {
  // Opaque flows take no slots; their number stands for the load.
  return {static_cast<uint32_t>(legs_.size()), 0, 0};
}

void datagram_carrier::BeginDrain(absl::Time now) {
  drain_deadline_ = now + kLongestDrain;
  next_sweep_ = now;
  for (auto& [flow, held] : legs_) {
    held.idle_deadline = std::min(held.idle_deadline, IdleDeadline(now));
  }
}

std::optional<std::string> datagram_carrier::ExportFlow(const flow_key& flow,
                                                        absl::Time /*now*/) {
  // A flow that never reached the upstream may go anywhere.
  return legs_.contains(flow) ? std::nullopt : std::optional<std::string>("");
}

void datagram_carrier::ImportFlow(const flow_key& flow,
                                  std::string_view /*state*/, absl::Time now) {
  FindOrOpen(flow, now);
}

void datagram_carrier::DropFlow(const flow_key& flow, absl::Time /*now*/) {
  Close(flow);
}

void datagram_carrier::Close(const flow_key& flow) {
  const auto held = legs_.find(flow);
  if (held != legs_.end()) {
    loop_->Unwatch(held->second.socket.fd());
    legs_.erase(held);
  }
}

}  // namespace cardamomroute
