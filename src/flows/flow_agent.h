#ifndef CARDAMOMROUTE_FLOWS_FLOW_AGENT_H_
#define CARDAMOMROUTE_FLOWS_FLOW_AGENT_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "absl/types/span.h"
#include "base/ipv4_address.h"
#include "directory/upstream_state.h"
#include "flows/flow_id.h"
#include "flows/flow_packet.h"
#include "flows/opening_queue.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

class agent_outlet;
class metric_recorder;

/// A flow that was silent for this long has ended, whatever its ends think.
inline constexpr absl::Duration kHeldFlowLife = absl::Seconds(60);

/// How long a flow whose ends have both finished is remembered, for packets
/// that come late.
inline constexpr absl::Duration kFinishedFlowLife = absl::Seconds(5);

/// A request that was not answered for so long is not counted any more: its
/// caller has gone, mostly without a word.
inline constexpr absl::Duration kLongestRequest = absl::Seconds(2);

/// An opening that was delivered counts as a request until its caller sends
/// one, but no longer than this: its caller may have gone.
inline constexpr absl::Duration kLongestOpening = absl::Milliseconds(60);

/// Requests that an upstream is given beyond its slots, so that it has the next
/// one at hand. Upstreams queue a few themselves, and refuse more than that.
inline constexpr uint32_t kRequestsBeyondSlots = 4;

/// Openings that wait at most, for each slot of the upstream: more than could
/// be served within a caller's time.
inline constexpr uint32_t kWaitingPerSlot = 24;

/// How often balancers are told of the load while it changes.
inline constexpr absl::Duration kLoadInterval = absl::Milliseconds(250);

/// Balancers that are told of the load: those heard from for so long.
inline constexpr absl::Duration kBalancerLife = absl::Seconds(5);

/// Flows that the agent does not know and was asked for, which it remembers at
/// most, and how long.
inline constexpr size_t kUnknownFlows = 4096;
inline constexpr absl::Duration kUnknownFlowLife = absl::Seconds(60);

/// Flows that the answer to a query lists at most, so that it fits a datagram
/// of 1280 bytes, the smallest MTU of IPv6 (RFC 8200, section 5), without
/// names.
inline constexpr size_t kMaxListedFlows = 480;

/// Packets at the upstream that it may still hand back.
inline constexpr size_t kMarkedPackets = 1024;

/// What an agent does with the packets of opaque flows. Its upstream is the
/// authority on the flows that it holds: what the agent knows is a cache of
/// what the upstream has answered. After a restart it lets the upstream say.
class flow_agent {
 public:
  /// `service` is the hash of the name of the upstream's service; `run` differs
  /// from that of the agent's former process; `recorder` has the metrics of an
  /// agent.
  flow_agent(uint64_t service, uint32_t run, agent_outlet* outlet,
             metric_recorder* recorder);

  /// What the upstream is at present. `knows_all_flows`: it cannot hold a flow
  /// that this process has not seen.
  void OnUpstream(upstream_state state, uint32_t slots, bool knows_all_flows);

  /// The upstream has ended for certain. Its callers are told at once, so that
  /// those of idle flows open new ones before they send their next request.
  void OnUpstreamEnded();

  /// A packet from a balancer; `packet` is the head of carried.packet().
  void OnCarried(const ipv4_address& balancer,
                 const inner::carried_packet& carried,
                 const flow_packet& packet, absl::Time now);

  /// A balancer looks for the holders of flows.
  void OnHolderQuery(const ipv4_address& balancer,
                     const inner::holder_query& query);

  /// A packet from the upstream; `bytes` is all of it. One that was handed back
  /// is without its mark again, as the caller sent it.
  void OnUpstreamPacket(const flow_packet& packet,
                        absl::Span<const uint8_t> bytes, absl::Time now);

  /// Lets openings go on, hands back those that have waited too long, forgets
  /// flows that are over, and reports the load.
  void Tick(absl::Time now);
  absl::Time NextDeadline() const {
    return std::min(next_tick_, waiting_.NextDeadline());
  }

  size_t held_flows() const { return flows_.size(); }
  uint32_t busy_flows() const { return busy_flows_; }

 private:
  struct held_flow {
    /// Rises from flow to flow.
    uint64_t number = 0;
    ipv4_address balancer;
    /// Of the upstream's answer to the opening.
    uint32_t first_sequence = 0;
    /// About the next byte that the caller expects.
    uint32_t caller_expects = 0;
    /// The upstream has answered the opening.
    bool answered = false;
    /// The upstream has sent more: the flow is open here and nowhere else.
    bool confirmed = false;
    /// A request waits for its answer, or the opening for the request.
    bool busy = false;
    /// It is the opening.
    bool opening = false;
    /// When its opening went to the upstream first.
    absl::Time opened_at = absl::InfinitePast();
    /// When its request or opening went to the upstream.
    absl::Time busy_since;
    bool caller_finished = false;
    bool upstream_finished = false;
    bool over = false;
    /// It is over as its upstream has ended, and its caller was told so.
    bool is_told = false;
    absl::Time forget_at;
  };
  /// A flow that is not among `flows_`.
  struct unknown_flow {
    /// That sent its last packet.
    ipv4_address balancer;
    /// The upstream has handed back a packet of it.
    bool is_denied = false;
    absl::Time forget_at;
  };
  /// A packet at the upstream.
  struct marked_packet {
    uint32_t mark = 0;
    uint32_t attempt = 0;
    ipv4_address balancer;
  };
  using flow_map = absl::flat_hash_map<flow_id, held_flow>;
  using begun_list = std::deque<std::pair<absl::Time, flow_id>>;

  void OnOpening(const ipv4_address& balancer,
                 const inner::carried_packet& carried, const flow_id& flow,
                 absl::Time now);
  bool IsOfThisFlow(const held_flow& held, const flow_packet& packet) const;
  inner::holder_claim ClaimOf(const flow_id& flow) const;
  void ListFlows(const inner::holder_query& query,
                 inner::holder_answer* answer) const;
  void DeliverUnknown(const ipv4_address& balancer,
                      const inner::carried_packet& carried, const flow_id& flow,
                      absl::Time now);
  void DeliverOpening(const ipv4_address& balancer, uint32_t attempt,
                      const flow_id& flow, absl::Span<const uint8_t> bytes,
                      absl::Time now);
  void Deliver(const ipv4_address& balancer, uint32_t attempt,
               absl::Span<const uint8_t> bytes);
  bool HasRoom() const { return busy_flows_ < slots_ + kRequestsBeyondSlots; }
  void AdmitWaiting(absl::Time now);
  void HandBackWaiting(const std::vector<waiting_opening>& openings,
                       const char* reason);
  void EndLostFlow(flow_map::iterator flow, const flow_packet& packet);
  void ResetLostFlow(const flow_id& flow, uint32_t sequence,
                     const char* reason);
  void OnHandedBack(const flow_packet& packet, absl::Span<const uint8_t> bytes,
                    absl::Time now);
  void HandBack(const ipv4_address& balancer, uint32_t attempt,
                absl::Span<const uint8_t> bytes, inner::return_reason reason);
  void Deny(const ipv4_address& balancer, uint32_t attempt, const flow_id& flow,
            absl::Span<const uint8_t> bytes, inner::return_reason reason);
  void Notify(const ipv4_address& balancer, const flow_id& flow,
              bool waits = false);
  void FillLoad(inner::upstream_load* load) const;
  held_flow& FindOrAdd(const flow_id& flow);
  void NoteEnd(held_flow* held, absl::Time now);
  void SetOver(held_flow* held);
  void SetBusy(held_flow* held, bool busy);
  void BeginWork(const flow_id& flow, held_flow* held, bool opening,
                 absl::Time now);
  void OnAnswerBegins(held_flow* held, absl::Time now);
  void Forget(flow_map::iterator flow);
  /// Openings or requests that nobody waits for any more.
  void ForgetBegun(bool opening, absl::Time now);
  void ReportLoad(absl::Time now);

  const uint64_t service_;
  const uint32_t run_;
  agent_outlet* const outlet_;
  metric_recorder* const recorder_;
  upstream_state state_ = upstream_state::kAbsent;
  uint32_t slots_ = 1;
  bool knows_all_flows_ = false;
  flow_map flows_;
  uint64_t last_number_ = 0;
  absl::flat_hash_map<flow_id, unknown_flow> unknown_flows_;
  /// Of `flows_`, those that are not over.
  uint32_t open_flows_ = 0;
  uint32_t busy_flows_ = 0;
  opening_queue waiting_{kWaitingPerSlot};
  /// Openings and requests that were begun, and when, oldest first.
  begun_list begun_openings_;
  begun_list begun_requests_;
  uint32_t next_mark_ = 1;
  std::array<marked_packet, kMarkedPackets> marked_{};
  /// When each was last heard from.
  absl::flat_hash_map<ipv4_address, absl::Time> balancers_;
  bool load_changed_ = false;
  absl::Time next_tick_ = absl::InfinitePast();
  absl::Time next_sweep_ = absl::InfinitePast();
  inner::flow_datagram datagram_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_AGENT_H_
