#include "flows/flow_balancer.h"

#include <algorithm>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "base/metric_recorder.h"
#include "flows/balancer_outlet.h"

namespace cardamomroute {
namespace {

// How often flows that are over are looked for.
constexpr absl::Duration kCacheSweepInterval = absl::Seconds(1);

}  // namespace

flow_balancer::flow_balancer(balancer_outlet* outlet, metric_recorder* recorder,
                             double link_bytes)
    : outlet_(outlet),
      recorder_(recorder),
      searches_(this, recorder, link_bytes) {}

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
  takes_up_held_ = takes_up_held_ || routes_->version() == 0;
  routes_ = std::move(routes);
  searches_.OnListChanged();
  recorder_->Set(metric::kRoutesVersion, routes_->version());
}

void flow_balancer::OnUpstreams(const std::vector<known_upstream>& known) {
  upstreams_.OnUpstreams(known);
  searches_.OnListChanged();
  recorder_->Set(metric::kKnownUpstreams, known.size());
}

void flow_balancer::OnSettled(absl::Time as_of, absl::Time now) {
  searches_.OnSettled(as_of, now);
  recorder_->Set(metric::kUpstreamsSettled, searches_.IsSettled() ? 1 : 0);
}

void flow_balancer::OnCallerPacket(const flow_packet& packet,
                                   absl::Span<const uint8_t> bytes,
                                   absl::Time now) {
  const flow_id flow = FlowFromCaller(packet);
  recorder_->Add(metric::kPacketsIn);
  if (packet.opening) {
    OnOpening(flow, packet, bytes, now);
    return;
  }
  if (removed_hosts_.contains(flow.host)) {
    flows_.erase(flow);
    searches_.Forget(flow);
    if (!packet.resetting) {
      Reset(flow, packet.acknowledged);
    }
    return;
  }
  const auto cached = flows_.find(flow);
  if (cached == flows_.end()) {
    if (routes_->Find(flow.host) != nullptr) {
      searches_.OnPacket(flow, packet, bytes, now);
    } else if (routes_->version() == 0) {
      Hold(flow, packet, bytes, now);
    }
    return;
  }
  const bool ends = packet.finishing || packet.resetting;
  cached->second.forget_at = now + (ends ? kEndedFlowLife : kCachedFlowLife);
  Send(cached->second.holder, 0, bytes);
  searches_.Confirm(flow, cached->second.holder, now);
}

void flow_balancer::OnOpening(const flow_id& flow, const flow_packet& packet,
                              absl::Span<const uint8_t> bytes, absl::Time now) {
  const flow_route* route = routes_->Find(flow.host);
  if (route == nullptr) {
    // Without any routes it is not known what there is.
    if (routes_->version() == 0) {
      Hold(flow, packet, bytes, now);
    } else {
      log_line(log_level::kInfo, "flow_refused")
          .With("flow", ToString(flow))
          .With("reason", "no-route")
          .With("routes_version", routes_->version());
      recorder_->Add(metric::kOpeningsRefusedNoRoute);
      Reset(flow, 0);
    }
    return;
  }
  const auto found = flows_.find(flow);
  const bool is_copy = packet.acknowledged > 0;
  if (found != flows_.end() && (is_copy || found->second.held)) {
    if (found->second.held || found->second.waits) {
      SendOpening(*route, found->second, bytes, now);
      return;
    }
    upstreams_.OnUnanswered(found->second.holder, now);
    TryNext(flow, *route, &found->second, bytes, now);
    return;
  }
  searches_.Forget(flow);
  cached_flow& cached = Remember(flow);
  cached = cached_flow();
  cached.opened_at = now;
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
    recorder_->Add(metric::kOpeningsRefusedNoUpstream);
    flows_.erase(flow);
    Reset(flow, 0);
    return;
  }
  log_line(log_level::kInfo, "flow_placed")
      .With("flow", ToString(flow))
      .With("route", route.name)
      .With("agent", ToString(ToEndpoint(agent)))
      .With("tries", cached->tries)
      .With("routes_version", routes_->version());
  recorder_->Add(metric::kOpeningsPlaced);
  cached->tried.at(cached->tries++) = agent;
  cached->holder = agent;
  cached->waits = false;
  cached->forget_at = now + kCachedFlowLife;
  SendOpening(route, *cached, bytes, now);
}

// What the opening has waited elsewhere counts.
void flow_balancer::SendOpening(const flow_route& route,
                                const cached_flow& cached,
                                absl::Span<const uint8_t> bytes,
                                absl::Time now) {
  const absl::Duration left = cached.opened_at + route.patience - now;
  inner::carried_packet* carried = datagram_.mutable_carried();
  carried->set_urgency(route.urgency);
  carried->set_patience_ms(static_cast<uint32_t>(
      std::max<int64_t>(absl::ToInt64Milliseconds(left), 0)));
  Send(cached.holder, 0, bytes);
  carried->clear_urgency();
  carried->clear_patience_ms();
}

std::vector<search_candidate> flow_balancer::CandidatesFor(const flow_id& flow,
                                                           absl::Time now) {
  const flow_route* route = routes_->Find(flow.host);
  if (route == nullptr) {
    return {};
  }
  return upstreams_.SearchOrder(HashOf(flow), *route, now);
}

void flow_balancer::Ask(const ipv4_address& agent,
                        const inner::holder_query& query) {
  inner::flow_datagram asked;
  *asked.mutable_query() = query;
  outlet_->SendToAgent(agent, asked);
}

void flow_balancer::TryAt(const ipv4_address& agent,
                          const held_packet& packet) {
  Send(agent, 1, packet.bytes);
}

void flow_balancer::OnUnanswered(const ipv4_address& agent, absl::Time now) {
  upstreams_.OnUnanswered(agent, now);
}

void flow_balancer::OnHolder(const flow_id& flow, const ipv4_address& agent,
                             bool is_certain,
                             const std::vector<held_packet>& waiting,
                             absl::Time now) {
  cached_flow& cached = Remember(flow);
  cached.holder = agent;
  cached.held = is_certain;
  cached.forget_at = now + kCachedFlowLife;
  for (const held_packet& packet : waiting) {
    Send(agent, 0, packet.bytes);
  }
}

void flow_balancer::OnPresumptionDenied(const flow_id& flow) {
  flows_.erase(flow);
}

void flow_balancer::OnNowhere(const flow_id& flow, const flow_packet& last) {
  if (!last.resetting) {
    Reset(flow, last.acknowledged);
  }
}

flow_balancer::cached_flow& flow_balancer::Remember(const flow_id& flow) {
  if (flows_.size() >= kMaxCachedFlows && !flows_.contains(flow)) {
    flows_.erase(flows_.begin());
  }
  return flows_[flow];
}

void flow_balancer::Reset(const flow_id& flow, uint32_t sequence) {
  recorder_->Add(metric::kFlowsReset);
  outlet_->ResetFlow(flow, sequence);
}

void flow_balancer::Send(const ipv4_address& agent, uint32_t attempt,
                         absl::Span<const uint8_t> bytes) {
  recorder_->Add(metric::kPacketsForwarded);
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
  recorder_->Add(metric::kPacketsReturned);
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
  if (routes_->Find(flow.host) != nullptr) {
    searches_.OnHandedBack(agent, flow, packet, AsBytes(bytes), now);
  }
}

void flow_balancer::OnHolderAnswer(const ipv4_address& agent,
                                   const inner::holder_answer& answer,
                                   absl::Time now) {
  upstreams_.OnLoad(agent, answer.load());
  searches_.OnAnswer(agent, answer, now);
}

void flow_balancer::OnNotice(const ipv4_address& agent,
                             const inner::flow_notice& notice, absl::Time now) {
  const flow_id flow{
      {notice.caller_ip(), static_cast<uint16_t>(notice.caller_port())},
      {notice.host_ip(), static_cast<uint16_t>(notice.host_port())}};
  upstreams_.OnLoad(agent, notice.load());
  const auto found = flows_.find(flow);
  // Of two upstreams that have answered an opening, the first one stays: the
  // caller mostly takes that one, and a packet for the other comes back.
  if (found != flows_.end() && found->second.held) {
    return;
  }
  cached_flow& cached = Remember(flow);
  cached.holder = agent;
  cached.waits = notice.waits();
  cached.held = !notice.waits();
  cached.forget_at = now + kCachedFlowLife;
  searches_.OnHolder(agent, flow, now);
}

void flow_balancer::OnLoad(const ipv4_address& agent,
                           const inner::upstream_load& load) {
  upstreams_.OnLoad(agent, load);
}

// A later packet of the flow takes the place of the one before.
void flow_balancer::Hold(const flow_id& flow, const flow_packet& packet,
                         absl::Span<const uint8_t> bytes, absl::Time now) {
  if (held_.size() >= kMaxHeldPackets && !held_.contains(flow)) {
    recorder_->Add(metric::kPacketsDropped);
    return;
  }
  recorder_->Add(metric::kPacketsHeld);
  held_[flow] = {packet, {bytes.begin(), bytes.end()}, now};
}

// Callers that came last have most of their time left.
void flow_balancer::TakeUpHeld(absl::Time now) {
  takes_up_held_ = false;
  std::vector<held_packet> taken;
  taken.reserve(held_.size());
  for (auto& [flow, waited] : held_) {
    const absl::Duration life =
        waited.head.opening ? kHeldOpeningLife : kHeldPacketLife;
    if (now < waited.came_at + life) {
      taken.push_back(std::move(waited));
    }
  }
  log_line(log_level::kInfo, "held_packets_taken_up")
      .With("taken", taken.size())
      .With("too_old", held_.size() - taken.size())
      .With("routes_version", routes_->version())
      .With("settled", searches_.IsSettled());
  held_.clear();
  std::sort(taken.begin(), taken.end(),
            [](const held_packet& a, const held_packet& b) {
              return a.came_at > b.came_at;
            });
  for (const held_packet& waited : taken) {
    OnCallerPacket(waited.head, waited.bytes, now);
  }
}

void flow_balancer::Tick(absl::Time now) {
  if (takes_up_held_) {
    TakeUpHeld(now);
  }
  searches_.Tick(now);
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kCacheSweepInterval;
  for (auto flow = flows_.begin(); flow != flows_.end();) {
    const auto present = flow++;
    if (now >= present->second.forget_at) {
      flows_.erase(present);
    }
  }
  recorder_->Set(metric::kCachedFlows, flows_.size());
}

}  // namespace cardamomroute
