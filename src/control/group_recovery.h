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

/// What one disk can bring back when the disks of a majority are gone.
struct recovery_plan {
  /// The group that the disk belongs to, and its last entry.
  uint64_t group = 0;
  uint64_t last_index = 0;
  uint64_t last_term = 0;
  /// The member itself.
  inner::member_record self;
  /// All others of its latest membership.
  std::vector<inner::member_record> removed_members;
  /// The state after the last entry.
  control_state state;

  /// Names this disk in its present state: the member's id and last index. The
  /// operator repeats it to confirm.
  std::string Confirmation() const;
};

/// Reads what the disk of `self` held. The state is that after the last entry
/// of the log, committed or not: a disk does not tell which of its last entries
/// a majority had, and one that was accepted must not be dropped. An entry that
/// was not accepted comes into force by this; its operator was told at most
/// that the outcome is unknown. Fails with kNoGroup where the disk belongs to
/// no group, with kDiskIdentity where its group no longer names it, and with
/// kMalformedMessage where the state cannot be read.
result<recovery_plan> PlanRecovery(member_id self, const recovered_state& disk);

/// The first snapshot of the group that replaces the one of `plan`: its state,
/// with `plan.self` as the only voter. Stored in place of the disk's snapshot
/// and log it is all that the new group needs; a core starts from it in the new
/// group whatever term the disk holds. `random` chooses among the numbers of
/// the new group. Fails with kValueOutOfRange when the numbers are used up.
result<shared_snapshot> RecoverGroup(recovery_plan plan, uint64_t random);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_GROUP_RECOVERY_H_
