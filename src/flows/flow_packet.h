#ifndef CARDAMOMROUTE_FLOWS_FLOW_PACKET_H_
#define CARDAMOMROUTE_FLOWS_FLOW_PACKET_H_

#include <cstdint>

#include "base/ipv4_address.h"
#include "flows/flow_id.h"

namespace cardamomroute {

/// What the head of a packet says. The bytes go beside it, unchanged.
struct flow_packet {
  ipv4_address source;
  ipv4_address destination;
  /// First packet of a flow, or the upstream's answer to it.
  bool opening = false;
  bool acknowledges = false;
  bool finishing = false;
  bool resetting = false;
  /// The upstream has handed the packet back.
  bool returned = false;
  uint32_t sequence = 0;
  /// Next byte that the sender expects; in a caller's opening packet how many
  /// copies of it went before.
  uint32_t acknowledged = 0;
  /// Bytes of data.
  uint16_t length = 0;
  /// What the agent wrote into the packet before the upstream handed it back.
  uint32_t mark = 0;
};

/// The flow of a packet that a caller sent.
inline flow_id FlowFromCaller(const flow_packet& packet) {
  return {packet.source, packet.destination};
}

/// The flow of a packet that an upstream sent.
inline flow_id FlowFromUpstream(const flow_packet& packet) {
  return {packet.destination, packet.source};
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_PACKET_H_
