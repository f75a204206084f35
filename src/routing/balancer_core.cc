#include "routing/balancer_core.h"

namespace cardamomroute {

balancer_core::balancer_core(const endpoint& inner, std::size_t cached_flows)
    : inner_(inner), cache_(cached_flows) {}

bool balancer_core::OnChange(const view_change& change) {
  return table_.Apply(change);
}

void balancer_core::OnCurrentVersion(uint64_t current_version,
                                     absl::Time asked_at) {
  lease_.OnHeard(table_.version(), current_version, asked_at);
}

balancer_decision balancer_core::OnPacket(const endpoint& caller,
                                          const endpoint& service_address,
                                          absl::Time now) {
  balancer_decision decision;
  const flow_key flow{caller, table_.FindServiceAt(service_address)};
  const service_routes* routes = table_.Find(flow.service);
  if (flow.service == 0 || routes == nullptr) {
    return decision;
  }
  decision.verdict = balancer_verdict::kRefuse;
  decision.header.flow = flow;
  const route_target* agent = FindCachedHolder(flow);
  decision.is_cached = agent != nullptr;
  if (agent == nullptr && !lease_.IsValid(now)) {
    decision.reason = error_kind::kStaleView;
    return decision;
  }
  FillHeader(&decision);
  if (agent == nullptr) {
    FindHomes(*routes, &decision.header);
    agent = routes->Find(decision.header.home);
  }
  if (agent == nullptr) {
    decision.reason = error_kind::kUnreachable;
    return decision;
  }
  decision.verdict = balancer_verdict::kForward;
  decision.header.receiver = agent->id;
  decision.agent = agent->agent;
  decision.agent_id = agent->id;
  return decision;
}

balancer_answer balancer_core::OnAnswer(const packet_header& header) {
  balancer_answer answer;
  answer.pull_now = header.view_version > table_.version();
  const endpoint* address = table_.FindAddress(header.flow.service);
  if (header.kind != packet_kind::kToCaller || address == nullptr) {
    return answer;
  }
  if (header.holder != 0) {
    cache_.Insert(header.flow, header.holder);
  } else {
    cache_.Erase(header.flow);
  }
  answer.deliver = true;
  answer.service_address = *address;
  answer.caller = header.flow.caller;
  return answer;
}

const route_target* balancer_core::FindCachedHolder(const flow_key& flow) {
  const target_id holder = cache_.Find(flow);
  if (holder == 0) {
    return nullptr;
  }
  const route_target* target = table_.FindTarget(holder);
  const service_routes* routes = table_.Find(flow.service);
  if (target == nullptr || routes->Find(holder) == nullptr) {
    cache_.Erase(flow);
    return nullptr;
  }
  return target;
}

void balancer_core::FillHeader(balancer_decision* decision) const {
  packet_header& header = decision->header;
  header.kind = packet_kind::kFromCaller;
  header.view_version = table_.version();
  header.balancer = inner_;
}

void balancer_core::FindHomes(const service_routes& routes,
                              packet_header* header) const {
  const uint64_t hash = HashOf(header->flow);
  header->home = routes.Home(hash);
  const service_routes* previous = table_.FindPrevious(header->flow.service);
  header->previous_home =
      previous == &routes ? header->home : previous->Home(hash);
}

}  // namespace cardamomroute
