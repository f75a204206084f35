#ifndef CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_H_
#define CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_H_

#include <cstddef>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/result.h"
#include "control/raft_types.h"

namespace cardamomroute::control {

/// The members of the control group and their roles.
class raft_membership {
 public:
  raft_membership() = default;
  explicit raft_membership(const inner::membership_record& record);

  /// Sorted by id.
  const std::vector<inner::member_record>& Members() const { return members_; }
  /// The member with this id, or null.
  const inner::member_record* Find(member_id id) const;
  bool IsVoter(member_id id) const;
  size_t VoterCount() const;
  /// Number of voters that form a majority.
  size_t Quorum() const { return VoterCount() / 2 + 1; }
  /// True if the voters among `ids` are a majority.
  bool IsQuorum(const absl::flat_hash_set<member_id>& ids) const;

  /// Returns the membership with `change` applied. Fails with kUnknownMember
  /// (no member with that id has the role that the change requires),
  /// kDuplicateName (the id is already a member) or kValueOutOfRange (no id,
  /// more than kMaxMembers, or no voter would remain).
  result<raft_membership> After(const membership_change& change) const;

  inner::membership_record ToRecord() const;

 private:
  result<raft_membership> AfterAdd(const inner::member_record& added) const;
  result<raft_membership> AfterRoleChange(member_id id, inner::member_role from,
                                          inner::member_role to) const;
  result<raft_membership> AfterRemove(member_id id) const;

  std::vector<inner::member_record> members_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_MEMBERSHIP_H_
