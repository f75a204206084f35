#ifndef CARDAMOMROUTE_ROUTING_WORLD_COUNTS_TEST_SUPPORT_H_
#define CARDAMOMROUTE_ROUTING_WORLD_COUNTS_TEST_SUPPORT_H_

#include <cstdint>

namespace cardamomroute {

/// What went wrong, and what it cost.
struct world_counts {
  uint64_t delivered = 0;
  uint64_t refused = 0;
  uint64_t dropped = 0;
  /// Packets of a flow with living state that reached another place, or state
  /// that was lost or came incomplete.
  uint64_t broken = 0;
  uint64_t misdelivered = 0;
  /// Flows whose state was on a crashed target.
  uint64_t lost_by_crash = 0;
  uint64_t handed_over = 0;
  uint64_t messages = 0;
  /// Handover messages above the least MTU of IPv6 (RFC 8200, section 5).
  uint64_t oversized = 0;
  uint64_t registrations = 0;
  uint64_t registered_flows = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_WORLD_COUNTS_TEST_SUPPORT_H_
