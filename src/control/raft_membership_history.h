#ifndef CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_HISTORY_H_
#define CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_HISTORY_H_

#include <cstdint>
#include <vector>

#include "control/raft_membership.h"

namespace cardamomroute::control {

/// The memberships in the log. The latest one is in force from the moment at
/// which it is in the log, committed or not (Ongaro, "Consensus: Bridging
/// Theory and Practice", section 4.1).
class raft_membership_history {
 public:
  raft_membership_history() : versions_(1) {}

  /// The one in force.
  const raft_membership& Latest() const { return versions_.back().membership; }
  /// Index of its entry.
  uint64_t LatestIndex() const { return versions_.back().index; }
  /// The one in force at `index`; the oldest known where that is later.
  const raft_membership& At(uint64_t index) const;

  /// Forgets all and starts from `membership`.
  void Reset(uint64_t index, raft_membership membership);
  void Add(uint64_t index, raft_membership membership);
  /// The log lost its entries from `index` on.
  void TruncateFrom(uint64_t index);
  /// Forgets what is older than the one in force at `index`.
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
