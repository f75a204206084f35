#ifndef CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_
#define CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ipv4_address.h"
#include "directory/known_upstream.h"
#include "flows/flow_id.h"
#include "flows/flow_packet.h"
#include "flows/route_set.h"
#include "flows/upstream_table.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

class balancer_outlet;

/// Agents at which an opening is tried: as many as a caller sends copies of it.
inline constexpr size_t kOpeningTries = 3;

/// A flow that was not heard of for this long is forgotten. A packet of it that
/// still comes is looked for.
inline constexpr absl::Duration kCachedFlowLife = absl::Seconds(30);

/// The same after a caller has ended its side.
inline constexpr absl::Duration kEndedFlowLife = absl::Seconds(3);

/// An agent that has not answered for so long when the next packet of a flow
/// comes is passed over. Callers repeat a packet after 200 ms.
inline constexpr absl::Duration kSearchPatience = absl::Milliseconds(100);

/// Flows that are remembered at most; others are looked for.
inline constexpr size_t kMaxCachedFlows = size_t{1} << 18;

/// What a balancer does with the packets of opaque flows. It places new flows
/// and remembers where; nothing of that matters if it is lost, as any agent
/// says whether its upstream holds a flow.
class flow_balancer {
 public:
  explicit flow_balancer(balancer_outlet* outlet);

  void OnRoutes(std::shared_ptr<const route_set> routes);
  void OnUpstreams(const std::vector<known_upstream>& known);

  /// Whether the upstreams are all that there are.
  void OnSettled(bool settled) { settled_ = settled; }

  /// A packet of a caller; `bytes` is all of it.
  void OnCallerPacket(const flow_packet& packet,
                      absl::Span<const uint8_t> bytes, absl::Time now);

  /// An agent has handed a packet back; `packet` is its head.
  void OnReturned(const ipv4_address& agent,
                  const inner::returned_packet& returned,
                  const flow_packet& packet, absl::Time now);

  /// An agent's upstream holds the flow.
  void OnNotice(const ipv4_address& agent, const inner::flow_notice& notice,
                absl::Time now);

  void OnLoad(const ipv4_address& agent, const inner::upstream_load& load);

  /// Forgets flows that are over.
  void Tick(absl::Time now);

  size_t cached_flows() const { return flows_.size(); }

 private:
  struct cached_flow {
    ipv4_address holder;
    /// Agents that were tried with the opening, the holder last.
    std::array<ipv4_address, kOpeningTries> tried;
    uint8_t tries = 0;
    /// The holder has said that its upstream has the flow.
    bool held = false;
    absl::Time forget_at;
  };

  /// Agents that were asked whether they hold a flow.
  struct pending_search {
    /// The last one, and when.
    ipv4_address agent;
    absl::Time asked_at;
    std::vector<ipv4_address> denied;
  };

  void OnOpening(const flow_id& flow, const flow_packet& packet,
                 absl::Span<const uint8_t> bytes, absl::Time now);
  void TryNext(const flow_id& flow, const flow_route& route,
               cached_flow* cached, absl::Span<const uint8_t> bytes,
               absl::Time now);
  void BeginSearch(const flow_id& flow, const flow_packet& packet,
                   absl::Span<const uint8_t> bytes, absl::Time now);
  void GoOnSearching(const flow_id& flow, const flow_packet& packet,
                     absl::Span<const uint8_t> bytes, absl::Time now);
  void EndSearch(const flow_id& flow, const flow_packet& packet);
  void Send(const ipv4_address& agent, uint32_t attempt,
            absl::Span<const uint8_t> bytes);

  balancer_outlet* const outlet_;
  std::shared_ptr<const route_set> routes_ = std::make_shared<route_set>();
  /// Addresses of routes that were removed while this process ran.
  absl::flat_hash_set<ipv4_address> removed_hosts_;
  upstream_table upstreams_;
  absl::flat_hash_map<flow_id, cached_flow> flows_;
  /// Searches that are not over.
  absl::flat_hash_map<flow_id, pending_search> searches_;
  /// Filled anew for each packet, so that it keeps its memory.
  inner::flow_datagram datagram_;
  bool settled_ = false;
  absl::Time next_sweep_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_
