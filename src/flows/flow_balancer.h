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
#include "flows/route_set.h"
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

/// An agent that was asked for a flow and has not answered for so long is
/// passed over. Callers repeat a packet after 200 ms.
inline constexpr absl::Duration kSearchPatience = absl::Milliseconds(100);

/// How long an opening waits for routes and upstreams to be known. A caller
/// sends the last copy of it after 0.6 s and gives up after 1.4 s.
inline constexpr absl::Duration kHeldOpeningLife = absl::Milliseconds(800);

/// The same for other packets. A caller repeats them within 1.6 s.
inline constexpr absl::Duration kHeldPacketLife = absl::Milliseconds(1600);

/// Packets that wait at most, one a flow; and searches at most that go on by
/// themselves.
inline constexpr size_t kMaxHeldPackets = 512;

/// Flows that are remembered at most; others are looked for.
inline constexpr size_t kMaxCachedFlows = size_t{1} << 18;

/// What a balancer does with the packets of opaque flows. It places new flows
/// and remembers where; nothing of that matters if it is lost, as any agent
/// says whether its upstream holds a flow.
class flow_balancer {
 public:
  /// `recorder` has the metrics of a balancer.
  flow_balancer(balancer_outlet* outlet, metric_recorder* recorder);

  void OnRoutes(std::shared_ptr<const route_set> routes);
  void OnUpstreams(const std::vector<known_upstream>& known);

  /// Whether the upstreams are all that there are.
  void OnSettled(bool settled);

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

  /// Takes up packets that waited, where enough is known now, goes on with
  /// searches whose agent is silent, and forgets flows that are over.
  void Tick(absl::Time now);
  absl::Time NextDeadline() const {
    return std::min(next_sweep_, next_search_step_);
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

  /// Agents that were asked whether they hold a flow.
  struct pending_search {
    /// The last one, and when.
    ipv4_address agent;
    absl::Time asked_at;
    absl::Time began_at = absl::InfiniteFuture();
    /// Bytes of packets that were sent to agents for it.
    size_t bytes_sent = 0;
    std::vector<ipv4_address> denied;
    /// Goes on by itself where the agent is silent, with this packet; else it
    /// waits for the caller's next one.
    bool goes_on = false;
    flow_packet head;
    std::vector<uint8_t> bytes;
  };

  /// A packet that came before enough was known to say where it goes.
  struct held_packet {
    flow_packet head;
    std::vector<uint8_t> bytes;
    absl::Time came_at;
  };

  void Hold(const flow_id& flow, const flow_packet& packet,
            absl::Span<const uint8_t> bytes, absl::Time now);
  void TakeUpHeld(absl::Time now);
  void OnOpening(const flow_id& flow, const flow_packet& packet,
                 absl::Span<const uint8_t> bytes, absl::Time now);
  void TryNext(const flow_id& flow, const flow_route& route,
               cached_flow* cached, absl::Span<const uint8_t> bytes,
               absl::Time now);
  void BeginSearch(const flow_id& flow, const flow_packet& packet,
                   absl::Span<const uint8_t> bytes, absl::Time now);
  void GoOnSearching(const flow_id& flow, const flow_packet& packet,
                     absl::Span<const uint8_t> bytes, absl::Time now);
  void StepSilentSearches(absl::Time now);
  void EndSearch(const flow_id& flow, const flow_packet& packet,
                 absl::Span<const uint8_t> bytes, absl::Time now);
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
  /// Searches that are not over.
  absl::flat_hash_map<flow_id, pending_search> searches_;
  /// Filled anew for each packet, so that it keeps its memory.
  inner::flow_datagram datagram_;
  bool settled_ = false;
  absl::flat_hash_map<flow_id, held_packet> held_;
  /// More is known than when the held packets came.
  bool takes_up_held_ = false;
  absl::Time next_sweep_ = absl::InfinitePast();
  absl::Time next_search_step_ = absl::InfiniteFuture();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_BALANCER_H_
