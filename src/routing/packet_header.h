#ifndef CARDAMOMROUTE_ROUTING_PACKET_HEADER_H_
#define CARDAMOMROUTE_ROUTING_PACKET_HEADER_H_

#include <cstdint>
#include <vector>

#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute {

/// Kinds of messages between balancers and agents. The values are those of
/// inner::packet_kind.
enum class packet_kind : uint8_t {
  kFromCaller = 1,
  kToCaller = 2,
  /// Returned to its sender: the receiver does not hold the flow.
  kNotHeld = 3,
  kRegister = 4,
  kHandover = 5,
  kHandoverDone = 6,
  kAsk = 7,
  kAnswerHeld = 8,
  kRegisterDone = 9,
  kSyncAsk = 10,
  kSyncDone = 11,
  kClosed = 12,
  kLoad = 13,
  kHandoverRefused = 14,
  kSuperseded = 15,
  kAnswerNotHeld = 16,
  /// From the holder of a flow: a datagram that bears an Echo value which the
  /// receiver issued. Not for flow_core.
  kPassedOn = 17,
  kHandoverHeld = 18,
};

/// A flow and the generation of its placement. Of two placements of a flow
/// the one with the higher generation is the later one.
struct flow_record {
  endpoint caller;
  uint64_t generation = 0;
};

/// What precedes the payload of a datagram between processes of the system.
struct packet_header {
  packet_kind kind = packet_kind::kFromCaller;
  flow_key flow;
  uint64_t view_version = 0;
  target_id home = 0;
  target_id previous_home = 0;
  target_id candidate = 0;
  /// Where answers to the caller go.
  endpoint balancer;
  uint32_t hops = 0;
  target_id holder = 0;
  /// 0 when a balancer sent it.
  target_id sender = 0;
  /// The target that it is meant for; another may have taken over the address.
  target_id receiver = 0;
  uint64_t generation = 0;
  uint64_t epoch = 0;
  uint64_t sequence = 0;
  /// The receiver shall hold the flow if nobody does.
  bool grant = false;
  std::vector<flow_record> flows;
  /// Load of the sender, in kLoad.
  uint32_t busy_slots = 0;
  /// Usable slots, in hundredths.
  uint32_t slots = 0;
  uint32_t queued = 0;
  uint32_t held_flows = 0;
  /// Of a flow's state, in kHandover: the number of the piece in the payload
  /// and the count of all; 0 pieces are taken as one. In kHandoverHeld: see
  /// held_pieces.
  uint32_t piece = 0;
  uint32_t pieces = 0;
  uint32_t held_pieces = 0;
  uint64_t assembly = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_PACKET_HEADER_H_
