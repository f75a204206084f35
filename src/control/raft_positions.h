#ifndef CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_
#define CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "inner/raft.pb.h"
#include "view/view.h"

namespace cardamomroute::control {

/// Id of one run of the process on one disk. `start_count` is how often the
/// data folder has been opened; `nonce` distinguishes runs with equal counts,
/// and only its lower 32 bits are used.
uint64_t RunOf(uint64_t start_count, uint64_t nonce);

/// The start count in a run id.
uint64_t StartsOf(uint64_t run);

/// The highest position (term and index) that each member's disk is known to
/// have stored, in the current and the previous run of its process. Used to
/// detect a disk that was restored from an old copy. Kept in memory only: an
/// old copy goes undetected if the leader and all members that it informed have
/// lost these positions, see docs/PROOFS.md.
class raft_positions {
 public:
  /// Records that a member has stored `position`. Has no effect if a higher
  /// position is known for the same run: within a run, positions only increase.
  void Record(const inner::raft_position& position);

  /// Known positions of a member: at most two runs, in order of run id.
  std::vector<inner::raft_position> Of(member_id member) const;

  /// True if another run of `member` has the same or a higher start count than
  /// `run`: one of the two runs uses an old copy of the disk.
  bool HasConflictingRun(member_id member, uint64_t run) const;

  /// True if a member that starts at `start` must be using an old copy of its
  /// disk: another run had the same or a higher start count or a higher
  /// position. `start` holds the stored term and the last stored index.
  bool Contradicts(const inner::raft_position& start) const;

 private:
  absl::btree_map<member_id, std::vector<inner::raft_position>> runs_by_member_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_
