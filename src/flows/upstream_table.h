#ifndef CARDAMOMROUTE_FLOWS_UPSTREAM_TABLE_H_
#define CARDAMOMROUTE_FLOWS_UPSTREAM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ipv4_address.h"
#include "directory/known_upstream.h"
#include "flows/flow_id.h"
#include "flows/route_set.h"
#include "flows/search_candidate.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// Upstreams among which a flow is placed at most, those that rendezvous
/// hashing puts first. A flow that a balancer does not know is looked for in
/// the same order, so that few are asked as a rule.
inline constexpr size_t kPlacementCandidates = 8;

/// A request that waits for its answer counts as so many open flows: a flow is
/// mostly idle, and a slot that is taken is felt at once.
inline constexpr uint32_t kBusyFlowWeight = 4;

/// How long an agent that did not answer an opening is passed over.
inline constexpr absl::Duration kUnansweredPenalty = absl::Seconds(1);

/// What a balancer knows of upstreams and their load, and where it would place
/// a flow.
class upstream_table {
 public:
  /// The upstreams that there are; loads of those that stay are kept.
  void OnUpstreams(const std::vector<known_upstream>& known);

  /// What an agent measured.
  void OnLoad(const ipv4_address& agent, const inner::upstream_load& load);

  /// An agent did not answer an opening or a search.
  void OnUnanswered(const ipv4_address& agent, absl::Time now);

  /// The agent that is to get a new flow of the route, passing over those that
  /// were tried; a zero address where there is none. The flow counts there
  /// until the agent's next report.
  ipv4_address Place(uint64_t flow_hash, const flow_route& route,
                     absl::Span<const ipv4_address> tried, absl::Time now);

  /// All agents whose upstream may hold the flow: the kLikelyHolders likeliest
  /// of each service, in the order of the route's shares, then as many of other
  /// services, which the route may have had in an older configuration, then the
  /// rest in the same order. An upstream that has ended and whose agent is not
  /// likely to answer is left out.
  std::vector<search_candidate> SearchOrder(uint64_t flow_hash,
                                            const flow_route& route,
                                            absl::Time now) const;

  /// Hash of the name of the service that the agent's upstream belongs to; 0
  /// for an unknown agent.
  uint64_t ServiceOf(const ipv4_address& agent) const;

  size_t size() const { return upstreams_.size(); }

 private:
  struct upstream {
    known_upstream known;
    uint64_t service = 0;
    uint32_t open_flows = 0;
    uint32_t busy_flows = 0;
    absl::Time avoided_until = absl::InfinitePast();

    /// Whether its agent is likely to answer.
    bool IsReachable(absl::Time now) const {
      return !known.silent && now >= avoided_until;
    }
    /// Flows per slot, by weight.
    double Load() const;
  };

  upstream* Find(const ipv4_address& agent);
  upstream* Choose(uint64_t flow_hash, uint64_t service,
                   absl::Span<const ipv4_address> tried, bool also_silent,
                   absl::Time now);

  std::vector<upstream> upstreams_;
  /// Places in `upstreams_`.
  absl::flat_hash_map<ipv4_address, size_t> places_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_UPSTREAM_TABLE_H_
