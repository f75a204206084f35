#ifndef CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_HISTORY_H_
#define CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_HISTORY_H_

#include <cstdint>
#include <vector>

#include "control/raft_membership.h"

namespace cardamomroute::control {

/// The memberships recorded in the log. A member uses the latest one as soon as
/// it is in its log, whether committed or not (Ongaro, "Consensus: Bridging
/// Theory and Practice", section 4.1).
class raft_membership_history {
 public:
  raft_membership_history() : versions_(1) {}

  /// The current membership.
  const raft_membership& Latest() const { return versions_.back().membership; }
  /// Index of the log entry of the current membership.
  uint64_t LatestIndex() const { return versions_.back().index; }
  /// Membership as of `index`; the oldest known one if that is later.
  const raft_membership& At(uint64_t index) const;

  /// Clears the history and starts from `membership` at `index`.
  void Reset(uint64_t index, raft_membership membership);
  /// Records the membership in the entry at `index`.
  void Add(uint64_t index, raft_membership membership);
  /// Removes the memberships of entries from `index` on, except the oldest.
  void TruncateFrom(uint64_t index);
  /// Removes memberships older than the one as of `index`.
  void Compact(uint64_t index);

 private:
  struct version {
    uint64_t index = 0;
    raft_membership membership;
  };

  /// Sorted by index, never empty.
  std::vector<version> versions_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_HISTORY_H_
