#ifndef CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_
#define CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_

#include <algorithm>
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
#include "flows/flow_searches.h"
#include "flows/held_packet.h"
#include "flows/route_set.h"
#include "flows/search_outlet.h"
#include "flows/upstream_table.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

class balancer_outlet;
class metric_recorder;

/// Agents at which an opening is tried: as many as a caller sends copies of it.
inline constexpr size_t kOpeningTries = 3;

/// A flow that was not heard of for this long is forgotten. A packet of it that
/// still comes is looked for.
inline constexpr absl::Duration kCachedFlowLife = absl::Seconds(30);

/// The same after a caller has ended its side.
inline constexpr absl::Duration kEndedFlowLife = absl::Seconds(3);

/// How long an opening waits for routes and upstreams to be known. A caller
/// sends the last copy of it after 0.6 s and gives up after 1.4 s.
inline constexpr absl::Duration kHeldOpeningLife = absl::Milliseconds(800);

/// Packets that wait for routes at most, one a flow.
inline constexpr size_t kMaxHeldPackets = 512;

/// Flows that are remembered at most; others are looked for.
inline constexpr size_t kMaxCachedFlows = size_t{1} << 18;

/// What a balancer does with the packets of opaque flows. It places new flows
/// and remembers where; nothing of that matters if it is lost, as any agent
/// says whether its upstream holds a flow.
class flow_balancer : private search_outlet {
 public:
  /// `recorder` has the metrics of a balancer; `link_bytes` is what its link
  /// carries a second in each direction.
  flow_balancer(balancer_outlet* outlet, metric_recorder* recorder,
                double link_bytes = kThinLinkBytes);

  void OnRoutes(std::shared_ptr<const route_set> routes);
  void OnUpstreams(const std::vector<known_upstream>& known);

  /// At this time the upstreams were all that there are; infinitely long ago
  /// where some may be missing.
  void OnSettled(absl::Time as_of, absl::Time now);

  /// The upstreams are to be asked for again, so that they are known as of this
  /// time; infinitely long ago where they need not be.
  absl::Time ListWantedAsOf() const { return searches_.ListWantedAsOf(); }

  /// A packet of a caller; `bytes` is all of it.
  void OnCallerPacket(const flow_packet& packet,
                      absl::Span<const uint8_t> bytes, absl::Time now);

  /// An agent has handed a packet back; `packet` is its head.
  void OnReturned(const ipv4_address& agent,
                  const inner::returned_packet& returned,
                  const flow_packet& packet, absl::Time now);

  /// An agent says which flows its upstream holds.
  void OnHolderAnswer(const ipv4_address& agent,
                      const inner::holder_answer& answer, absl::Time now);

  /// An agent's upstream holds the flow.
  void OnNotice(const ipv4_address& agent, const inner::flow_notice& notice,
                absl::Time now);

  void OnLoad(const ipv4_address& agent, const inner::upstream_load& load);

  /// Takes up packets that waited, where enough is known now, goes on with
  /// searches, and forgets flows that are over. Called after each round of
  /// packets: queries of a round go together.
  void Tick(absl::Time now);
  absl::Time NextDeadline() const {
    return std::min(next_sweep_, searches_.NextDeadline());
  }

  size_t cached_flows() const { return flows_.size(); }

 private:
  struct cached_flow {
    ipv4_address holder;
    /// Agents that were tried with the opening, the holder last.
    std::array<ipv4_address, kOpeningTries> tried;
    uint8_t tries = 0;
    /// The holder has said that its upstream has the flow.
    bool held = false;
    /// The holder has said that the opening waits there.
    bool waits = false;
    absl::Time opened_at;
    absl::Time forget_at;
  };

  // search_outlet
  std::vector<search_candidate> CandidatesFor(const flow_id& flow,
                                              absl::Time now) override;
  void Ask(const ipv4_address& agent,
           const inner::holder_query& query) override;
  void TryAt(const ipv4_address& agent, const held_packet& packet) override;
  void OnUnanswered(const ipv4_address& agent, absl::Time now) override;
  void OnHolder(const flow_id& flow, const ipv4_address& agent, bool is_certain,
                const std::vector<held_packet>& waiting,
                absl::Time now) override;
  void OnPresumptionDenied(const flow_id& flow) override;
  void OnNowhere(const flow_id& flow, const flow_packet& last) override;

  void Hold(const flow_id& flow, const flow_packet& packet,
            absl::Span<const uint8_t> bytes, absl::Time now);
  void TakeUpHeld(absl::Time now);
  void OnOpening(const flow_id& flow, const flow_packet& packet,
                 absl::Span<const uint8_t> bytes, absl::Time now);
  void TryNext(const flow_id& flow, const flow_route& route,
               cached_flow* cached, absl::Span<const uint8_t> bytes,
               absl::Time now);
  cached_flow& Remember(const flow_id& flow);
  void Reset(const flow_id& flow, uint32_t sequence);
  void SendOpening(const flow_route& route, const cached_flow& cached,
                   absl::Span<const uint8_t> bytes, absl::Time now);
  void Send(const ipv4_address& agent, uint32_t attempt,
            absl::Span<const uint8_t> bytes);

  balancer_outlet* const outlet_;
  metric_recorder* const recorder_;
  std::shared_ptr<const route_set> routes_ = std::make_shared<route_set>();
  /// Addresses of routes that were removed while this process ran.
  absl::flat_hash_set<ipv4_address> removed_hosts_;
  upstream_table upstreams_;
  absl::flat_hash_map<flow_id, cached_flow> flows_;
  flow_searches searches_;
  /// Filled anew for each packet, so that it keeps its memory.
  inner::flow_datagram datagram_;
  absl::flat_hash_map<flow_id, held_packet> held_;
  /// More is known than when the held packets came.
  bool takes_up_held_ = false;
  absl::Time next_sweep_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_
