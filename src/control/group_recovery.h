#ifndef CARDAMOMROUTE_CONTROL_GROUP_RECOVERY_H_
#define CARDAMOMROUTE_CONTROL_GROUP_RECOVERY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/control_state.h"
#include "control/raft_types.h"
#include "view/view.h"

namespace cardamomroute::control {

/// Describes the recovery of a group from one disk after the disks of a
/// majority have been lost.
struct recovery_plan {
  /// The group that the disk belongs to, and the last entry of the disk's log.
  uint64_t group = 0;
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  /// The member that owns the disk.
  inner::member_record self;
  /// The other members of the latest membership; the new group lacks them.
  std::vector<inner::member_record> removed_members;
  /// The state after the last entry has been applied.
  control_state state;

  /// Returns a string that identifies the disk and its state (member id and
  /// last index). The operator enters it to confirm the recovery.
  std::string Confirmation() const;
};

/// Plans the recovery from the disk of `self`. All entries of the log are
/// applied, committed or not: one disk does not show which of its last entries
/// a majority stored, and an accepted entry must not be lost. An entry that was
/// never accepted takes effect as well; its operator was told at most that the
/// outcome is unknown. Fails with kNoGroup if the disk belongs to no group,
/// with kDiskIdentity if the group's membership lacks `self`, and with
/// kMalformedMessage if the state cannot be parsed.
result<recovery_plan> PlanRecovery(member_id self, const recovered_state& disk);

/// Returns the first snapshot of the group that replaces the one of `plan`. It
/// holds the state of `plan`, with `plan.self` as the only voter. The caller
/// stores it in place of the disk's snapshot and log; a raft_core then starts
/// from it in the new group, whatever term the disk holds. `random` selects the
/// number of the new group. Fails with kValueOutOfRange if the group numbers
/// are exhausted.
result<shared_snapshot> RecoverGroup(recovery_plan plan, uint64_t random);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_GROUP_RECOVERY_H_
