#ifndef CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_
#define CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_

#include <cstdint>

namespace cardamomroute::control {

/// Identifies a control group among those created by recovering a group from a
/// single disk. A newly founded group is 0; a recovered group has a higher
/// number than the group that it replaces.
using group_number = uint64_t;

/// Terms and indexes hold the group number in the bits from this one upward.
/// Versions of views and texts are indexes, so they hold it too. Every value
/// issued by a previous group is therefore lower than any value of the group
/// that replaced it, and every message identifies its group. The lower bits
/// last 100 years at 20 entries per second.
inline constexpr unsigned kGroupShift = 36;

/// Highest group number. Keeps versions below 2^53, because JSON readers may
/// store numbers as doubles.
inline constexpr group_number kMaxGroupNumber = (uint64_t{1} << 17) - 1;

/// Upper bound of the random increment (at least 1) from a group's number to
/// that of the group recovered from it. Random, so that two groups recovered
/// from the same group by mistake are unlikely to get the same number.
inline constexpr uint64_t kMaxGroupIncrement = 256;

/// Group number of a term, an index or a version.
constexpr group_number GroupOf(uint64_t value) { return value >> kGroupShift; }

/// First term and first index of a recovered group.
constexpr uint64_t FirstInGroup(group_number group) {
  return group << kGroupShift;
}

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_
