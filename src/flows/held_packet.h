#ifndef CARDAMOMROUTE_FLOWS_HELD_PACKET_H_
#define CARDAMOMROUTE_FLOWS_HELD_PACKET_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "flows/flow_packet.h"

namespace cardamomroute {

/// How long a packet that opens no flow waits. Callers repeat it before that.
inline constexpr absl::Duration kHeldPacketLife = absl::Milliseconds(1600);

/// A caller's packet that waits until it is known where it goes.
struct held_packet {
  flow_packet head;
  std::vector<uint8_t> bytes;
  absl::Time came_at;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_HELD_PACKET_H_
