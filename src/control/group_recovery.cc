#include "control/group_recovery.h"

#include <absl/strings/str_format.h>

#include <memory>
#include <utility>

#include "control/raft_group.h"
#include "control/raft_membership.h"

namespace cardamomroute::control {
namespace {

/// Applies the disk's snapshot and entries to the state of `plan`, sets its
/// last index and term, and returns the latest membership.
result<raft_membership> ReplayDisk(const recovered_state& disk,
                                   recovery_plan* plan) {
  raft_membership membership;
  if (disk.snapshot != nullptr) {
    plan->last_index = disk.snapshot->index();
    plan->last_term = disk.snapshot->term();
    membership = raft_membership(disk.snapshot->membership());
    if (!disk.snapshot->data().empty()) {
      BOOST_OUTCOME_TRYV(plan->state.Restore(disk.snapshot->data()));
    }
  }
  for (const inner::raft_entry& entry : disk.entries) {
    if (entry.index() != plan->last_index + 1) {
      continue;
    }
    plan->last_index = entry.index();
    plan->last_term = entry.term();
    if (entry.has_membership()) {
      membership = raft_membership(entry.membership());
    } else if (entry.has_command()) {
      plan->state.Apply(entry.index(), entry.command());
    }
  }
  return membership;
}

}  // namespace

std::string recovery_plan::Confirmation() const {
  return absl::StrFormat("%016x:%d", self.id(), last_index);
}

result<recovery_plan> PlanRecovery(member_id self,
                                   const recovered_state& disk) {
  recovery_plan plan;
  BOOST_OUTCOME_TRY(membership, ReplayDisk(disk, &plan));
  if (membership.Members().empty()) {
    return error{error_kind::kNoGroup, "", ""};
  }
  const inner::member_record* own = membership.Find(self);
  if (own == nullptr) {
    return error{error_kind::kDiskIdentity, "",
                 "the group no longer names this member"};
  }
  plan.self = *own;
  plan.group = GroupOf(plan.last_index);
  for (const inner::member_record& member : membership.Members()) {
    if (member.id() != self) {
      plan.removed_members.push_back(member);
    }
  }
  return plan;
}

result<shared_snapshot> RecoverGroup(recovery_plan plan, uint64_t random) {
  const group_number group = plan.group + 1 + random % kMaxGroupIncrement;
  if (group > kMaxGroupNumber) {
    return error{error_kind::kValueOutOfRange, "group",
                 "this group was recovered too often"};
  }
  BOOST_OUTCOME_TRYV(plan.state.BeginGroup(FirstInGroup(group)));
  auto snapshot = std::make_shared<inner::raft_snapshot_record>();
  snapshot->set_index(FirstInGroup(group));
  snapshot->set_term(FirstInGroup(group));
  inner::member_record* voter = snapshot->mutable_membership()->add_members();
  *voter = plan.self;
  voter->set_role(inner::VOTER);
  snapshot->set_data(plan.state.Snapshot());
  return shared_snapshot(std::move(snapshot));
}

}  // namespace cardamomroute::control
