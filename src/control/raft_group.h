#ifndef CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_
#define CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_

#include <cstdint>

namespace cardamomroute::control {

/// Numbers the groups that follow one another when a group is recovered from
/// one disk. A founded group is 0; a recovered one has a higher number than the
/// group that it replaces.
using group_number = uint64_t;

/// Terms and indexes carry the number of their group in the bits from this one
/// on. So do versions of views and texts, which are indexes: whatever a former
/// group has handed out lies below everything of the group that replaced it,
/// and each message says of which group it is. At 20 entries a second a group
/// has indexes for 100 years.
inline constexpr unsigned kGroupShift = 36;

/// Highest number, so that versions stay below 2^53: readers of JSON may hold
/// numbers as doubles.
inline constexpr group_number kMaxGroupNumber = (uint64_t{1} << 17) - 1;

/// A recovered group's number is above the former one's by 1 to
/// kMaxGroupIncrement, at random: two groups recovered from one by mistake
/// hardly share a number.
inline constexpr uint64_t kMaxGroupIncrement = 256;

/// The group of a term, an index or a version.
constexpr group_number GroupOf(uint64_t value) { return value >> kGroupShift; }

/// First term and first index of a recovered group.
constexpr uint64_t FirstInGroup(group_number group) {
  return group << kGroupShift;
}

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_GROUP_H_
