#ifndef CARDAMOMROUTE_FLOWS_SEARCH_OUTLET_H_
#define CARDAMOMROUTE_FLOWS_SEARCH_OUTLET_H_

#include <vector>

#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "flows/flow_id.h"
#include "flows/held_packet.h"
#include "flows/search_candidate.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// What flow_searches needs of its balancer.
class search_outlet {
 public:
  virtual ~search_outlet() = default;

  /// The agents that may be the holder's, the most likely one first; none where
  /// the flow has no route.
  virtual std::vector<search_candidate> CandidatesFor(const flow_id& flow,
                                                      absl::Time now) = 0;

  /// May be lost on the way.
  virtual void Ask(const ipv4_address& agent,
                   const inner::holder_query& query) = 0;

  /// Gives the agent a packet so that its upstream says whether it holds the
  /// flow. May be lost on the way.
  virtual void TryAt(const ipv4_address& agent, const held_packet& packet) = 0;

  /// The agent did not answer.
  virtual void OnUnanswered(const ipv4_address& agent, absl::Time now) = 0;

  /// The flow is at the agent, and `waiting` are packets of it that have not
  /// been there. `is_certain`: the agent has said so.
  virtual void OnHolder(const flow_id& flow, const ipv4_address& agent,
                        bool is_certain,
                        const std::vector<held_packet>& waiting,
                        absl::Time now) = 0;

  /// The agent that the flow was presumed to be at denies it.
  virtual void OnPresumptionDenied(const flow_id& flow) = 0;

  /// No upstream holds the flow; `last` is its caller's latest packet.
  virtual void OnNowhere(const flow_id& flow, const flow_packet& last) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_SEARCH_OUTLET_H_
