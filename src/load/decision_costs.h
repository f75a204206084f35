#ifndef CARDAMOMROUTE_LOAD_DECISION_COSTS_H_
#define CARDAMOMROUTE_LOAD_DECISION_COSTS_H_

namespace cardamomroute::load {

/// Prints nanoseconds that a balancer's decision on a packet takes, with few
/// and many targets and with the flow's location known or not.
void MeasureBalancerDecisions();

/// Prints nanoseconds that an agent's decisions take, and bytes that each flow
/// which it holds or redirects takes.
void MeasureAgentDecisions();

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_DECISION_COSTS_H_
