#ifndef CARDAMOMROUTE_ROUTING_BALANCER_CORE_H_
#define CARDAMOMROUTE_ROUTING_BALANCER_CORE_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "base/error_kind.h"
#include "routing/flow_cache.h"
#include "routing/packet_header.h"
#include "routing/route_table.h"
#include "view/node_lease.h"
#include "view/view_change.h"

namespace cardamomroute {

/// What a balancer does with a packet of the fabric.
enum class balancer_verdict : uint8_t {
  /// Send it, behind the header, to the agent.
  kForward,
  /// Give the caller a final answer at once. This packet runs nothing;
  /// another copy of it may have come another way.
  kRefuse,
  /// Not a packet for any service.
  kDrop,
};

/// A verdict with all that is needed to carry it out and to log it.
struct balancer_decision {
  balancer_verdict verdict = balancer_verdict::kDrop;
  /// Why it is refused or dropped: kWrongService (no service at the address),
  /// kUnreachable (the service has no target), kStaleView (the flow is new
  /// and the lease has run out).
  error_kind reason = error_kind::kWrongService;
  /// Filled in a forward, the homes only when the holder is not cached; `flow`
  /// is filled in a refusal too.
  packet_header header;
  endpoint agent;
  target_id agent_id = 0;
  /// The holder came from the cache, not from the table.
  bool is_cached = false;
};

/// What a balancer does with a packet from an agent.
struct balancer_answer {
  /// False: the packet cannot be proved to answer a caller; drop it.
  bool deliver = false;
  /// Send from here to there.
  endpoint service_address;
  endpoint caller;
  /// The agent knows a newer view: pull it without waiting for the next poll.
  bool pull_now = false;
};

/// Decisions of a balancer: which agent gets a packet. Holds nothing whose
/// loss matters.
class balancer_core {
 public:
  /// `inner` is where agents reach this balancer.
  balancer_core(const endpoint& inner, std::size_t cached_flows);

  /// See route_table::Apply. Never goes back to an older view.
  bool OnChange(const view_change& change);

  /// See node_lease::OnHeard.
  void OnCurrentVersion(uint64_t current_version, absl::Time asked_at);

  /// A packet from the fabric.
  balancer_decision OnPacket(const endpoint& caller,
                             const endpoint& service_address, absl::Time now);

  /// A packet from an agent.
  balancer_answer OnAnswer(const packet_header& header);

  uint64_t view_version() const { return table_.version(); }
  const node_lease& lease() const { return lease_; }
  const route_table& table() const { return table_; }
  std::size_t cached_flows() const { return cache_.size(); }

 private:
  /// The holder in the cache if the view still has it, or null.
  const route_target* FindCachedHolder(const flow_key& flow);
  void FillHeader(balancer_decision* decision) const;
  /// The home chooses the candidate itself, and only for a new flow.
  void FindHomes(const service_routes& routes, packet_header* header) const;

  endpoint inner_;
  route_table table_;
  flow_cache cache_;
  node_lease lease_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_BALANCER_CORE_H_
