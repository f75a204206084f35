#include "flows/flow_balancer.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "flows/balancer_outlet.h"

namespace cardamomroute {
namespace {

// How often flows that are over are looked for.
constexpr absl::Duration kCacheSweepInterval = absl::Seconds(1);

}  // namespace

flow_balancer::flow_balancer(balancer_outlet* outlet) : outlet_(outlet) {}

void flow_balancer::OnRoutes(std::shared_ptr<const route_set> routes) {
  for (const ipv4_address& host : routes_->HostsMissingIn(*routes)) {
    removed_hosts_.insert(host);
  }
  for (auto host = removed_hosts_.begin(); host != removed_hosts_.end();) {
    const auto present = host++;
    if (routes->Find(*present) != nullptr) {
      removed_hosts_.erase(present);
    }
  }
  log_line(log_level::kInfo, "routes_in_force")
      .With("version", routes->version())
      .With("before", routes_->version())
      .With("routes", routes->size());
  routes_ = std::move(routes);
}

void flow_balancer::OnUpstreams(const std::vector<known_upstream>& known) {
  upstreams_.OnUpstreams(known);
}

void flow_balancer::OnCallerPacket(const flow_packet& packet,
                                   absl::Span<const uint8_t> bytes,
                                   absl::Time now) {
  const flow_id flow = FlowFromCaller(packet);
  if (packet.opening) {
    OnOpening(flow, packet, bytes, now);
    return;
  }
  if (removed_hosts_.contains(flow.host)) {
    flows_.erase(flow);
    if (!packet.resetting) {
      outlet_->ResetFlow(flow, packet.acknowledged);
    }
    return;
  }
  const auto cached = flows_.find(flow);
  if (cached == flows_.end()) {
    BeginSearch(flow, packet, bytes, now);
    return;
  }
  const bool ends = packet.finishing || packet.resetting;
  cached->second.forget_at = now + (ends ? kEndedFlowLife : kCachedFlowLife);
  Send(cached->second.holder, 0, bytes);
}

void flow_balancer::OnOpening(const flow_id& flow, const flow_packet& packet,
                              absl::Span<const uint8_t> bytes, absl::Time now) {
  const flow_route* route = routes_->Find(flow.host);
  if (route == nullptr) {
    // Without any routes it is not known what there is.
    if (routes_->version() != 0) {
      log_line(log_level::kInfo, "flow_refused")
          .With("flow", ToString(flow))
          .With("reason", "no-route")
          .With("routes_version", routes_->version());
      outlet_->ResetFlow(flow, 0);
    }
    return;
  }
  const auto found = flows_.find(flow);
  const bool is_copy = packet.acknowledged > 0;
  if (found != flows_.end() && (is_copy || found->second.held)) {
    if (found->second.held) {
      Send(found->second.holder, 0, bytes);
      return;
    }
    upstreams_.OnUnanswered(found->second.holder, now);
    TryNext(flow, *route, &found->second, bytes, now);
    return;
  }
  if (flows_.size() >= kMaxCachedFlows) {
    flows_.erase(flows_.begin());
  }
  cached_flow& cached = flows_[flow];
  cached = cached_flow();
  TryNext(flow, *route, &cached, bytes, now);
}

// Places the opening at an agent that was not tried with it. Where none is
// left, the caller is told so at once: no upstream has taken the flow.
void flow_balancer::TryNext(const flow_id& flow, const flow_route& route,
                            cached_flow* cached,
                            absl::Span<const uint8_t> bytes, absl::Time now) {
  ipv4_address agent;
  if (cached->tries < kOpeningTries) {
    agent = upstreams_.Place(HashOf(flow), route,
                             {cached->tried.data(), cached->tries}, now);
  }
  if (agent == ipv4_address()) {
    log_line(log_level::kInfo, "flow_refused")
        .With("flow", ToString(flow))
        .With("reason", "no-upstream")
        .With("route", route.name)
        .With("tries", cached->tries)
        .With("upstreams", upstreams_.size())
        .With("routes_version", routes_->version());
    flows_.erase(flow);
    outlet_->ResetFlow(flow, 0);
    return;
  }
  log_line(log_level::kInfo, "flow_placed")
      .With("flow", ToString(flow))
      .With("route", route.name)
      .With("agent", ToString(ToEndpoint(agent)))
      .With("tries", cached->tries)
      .With("routes_version", routes_->version());
  cached->tried.at(cached->tries++) = agent;
  cached->holder = agent;
  cached->forget_at = now + kCachedFlowLife;
  Send(agent, 0, bytes);
}

void flow_balancer::BeginSearch(const flow_id& flow, const flow_packet& packet,
                                absl::Span<const uint8_t> bytes,
                                absl::Time now) {
  const auto before = searches_.find(flow);
  if (before != searches_.end() &&
      now >= before->second.asked_at + kSearchPatience) {
    upstreams_.OnUnanswered(before->second.agent, now);
  }
  GoOnSearching(flow, packet, bytes, now);
}

void flow_balancer::GoOnSearching(const flow_id& flow,
                                  const flow_packet& packet,
                                  absl::Span<const uint8_t> bytes,
                                  absl::Time now) {
  const flow_route* route = routes_->Find(flow.host);
  if (route == nullptr) {
    return;
  }
  pending_search& search = searches_[flow];
  const ipv4_address agent =
      upstreams_.NextToAsk(HashOf(flow), *route, search.denied, now);
  if (agent == ipv4_address() || search.denied.size() >= kSearchedAgents) {
    EndSearch(flow, packet);
    return;
  }
  log_line(log_level::kDebug, "flow_searched")
      .With("flow", ToString(flow))
      .With("agent", ToString(ToEndpoint(agent)))
      .With("denied", search.denied.size());
  search.agent = agent;
  search.asked_at = now;
  Send(agent, static_cast<uint32_t>(search.denied.size()) + 1, bytes);
}

// Every agent that was asked has said that its upstream does not hold the flow;
// one that is silent would not have answered, and the search stood still.
void flow_balancer::EndSearch(const flow_id& flow, const flow_packet& packet) {
  const size_t steps = searches_[flow].denied.size();
  searches_.erase(flow);
  const bool is_nowhere = settled_ && steps > 0 && steps < kSearchedAgents;
  log_line(log_level::kInfo, "flow_not_found")
      .With("flow", ToString(flow))
      .With("steps", steps)
      .With("settled", settled_)
      .With("reset", is_nowhere && !packet.resetting);
  if (is_nowhere && !packet.resetting) {
    outlet_->ResetFlow(flow, packet.acknowledged);
  }
}

void flow_balancer::Send(const ipv4_address& agent, uint32_t attempt,
                         absl::Span<const uint8_t> bytes) {
  inner::carried_packet* carried = datagram_.mutable_carried();
  carried->set_service(upstreams_.ServiceOf(agent));
  carried->set_attempt(attempt);
  carried->set_packet(bytes.data(), bytes.size());
  outlet_->SendToAgent(agent, datagram_);
}

void flow_balancer::OnReturned(const ipv4_address& agent,
                               const inner::returned_packet& returned,
                               const flow_packet& packet, absl::Time now) {
  const flow_id flow = FlowFromCaller(packet);
  // Kept apart from `datagram_`, which may be filled while it is read.
  const std::string bytes = returned.carried().packet();
  const auto cached = flows_.find(flow);
  if (packet.opening) {
    const flow_route* route = routes_->Find(flow.host);
    if (cached == flows_.end() || cached->second.held || route == nullptr ||
        cached->second.holder != agent) {
      return;
    }
    TryNext(flow, *route, &cached->second, AsBytes(bytes), now);
    return;
  }
  if (cached != flows_.end() && cached->second.holder == agent) {
    flows_.erase(cached);
  } else if (cached != flows_.end() && returned.carried().attempt() == 0) {
    // It was found elsewhere meanwhile.
    Send(cached->second.holder, 0, AsBytes(bytes));
    return;
  }
  std::vector<ipv4_address>& denied = searches_[flow].denied;
  if (std::find(denied.begin(), denied.end(), agent) == denied.end()) {
    denied.push_back(agent);
  }
  GoOnSearching(flow, packet, AsBytes(bytes), now);
}

void flow_balancer::OnNotice(const ipv4_address& agent,
                             const inner::flow_notice& notice, absl::Time now) {
  const flow_id flow{
      {notice.caller_ip(), static_cast<uint16_t>(notice.caller_port())},
      {notice.host_ip(), static_cast<uint16_t>(notice.host_port())}};
  upstreams_.OnLoad(agent, notice.load());
  searches_.erase(flow);
  const auto found = flows_.find(flow);
  // Of two upstreams that have answered an opening, the first one stays: the
  // caller mostly takes that one, and a packet for the other comes back.
  if (found != flows_.end() && found->second.held) {
    return;
  }
  if (flows_.size() >= kMaxCachedFlows && found == flows_.end()) {
    flows_.erase(flows_.begin());
  }
  if (found == flows_.end()) {
    log_line(log_level::kInfo, "flow_found")
        .With("flow", ToString(flow))
        .With("agent", ToString(ToEndpoint(agent)));
  }
  cached_flow& cached = flows_[flow];
  cached.holder = agent;
  cached.held = true;
  cached.forget_at = now + kCachedFlowLife;
}

void flow_balancer::OnLoad(const ipv4_address& agent,
                           const inner::upstream_load& load) {
  upstreams_.OnLoad(agent, load);
}

void flow_balancer::Tick(absl::Time now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kCacheSweepInterval;
  for (auto search = searches_.begin(); search != searches_.end();) {
    const auto present = search++;
    if (now >= present->second.asked_at + kCachedFlowLife) {
      searches_.erase(present);
    }
  }
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    const auto present = flow++;
    if (now >= present->second.forget_at) {
      flows_.erase(present);
    }
  }
}

}  // namespace cardamomroute
