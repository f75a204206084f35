#ifndef CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_
#define CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_

#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "inner/raft.pb.h"
#include "view/view.h"

namespace cardamomroute::control {

/// Names one run of a process on one disk: `starts` counts how often the data
/// folder was opened, `nonce` tells runs with the same count apart.
uint64_t RunOf(uint64_t starts, uint64_t nonce);

/// How often the data folder had been opened when this run began.
uint64_t StartsOf(uint64_t run);

/// How far each member's disk is known to have come, in the present and the
/// former run of its process. Kept in memory only: what a leader and those it
/// told have forgotten is not found out here, see docs/PROOFS.md.
class raft_positions {
 public:
  /// What was made durable in one run is never taken back, so only what is
  /// further than before changes anything.
  void Record(const inner::raft_position& position);

  /// What is known of a member: at most two runs.
  std::vector<inner::raft_position> Of(member_id member) const;

  /// True if the disk of `member` had been started as often as `run` by
  /// another run: one of the two runs on an old copy.
  bool HasConflictingRun(member_id member, uint64_t run) const;

  /// True if `start` cannot be where the disk of its member was left: another
  /// run had a higher or the same start number, or was further. `start` holds
  /// the stored term and the last stored index.
  bool Contradicts(const inner::raft_position& start) const;

 private:
  absl::btree_map<member_id, std::vector<inner::raft_position>> seen_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_POSITIONS_H_
