#include "control/raft_membership.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

bool ById(const inner::member_record& a, const inner::member_record& b) {
  return a.id() < b.id();
}

error MemberError(error_kind kind, member_id id, const char* detail) {
  return error{kind, absl::StrCat("member ", id), detail};
}

}  // namespace

raft_membership::raft_membership(const inner::membership_record& record)
    : members_(record.members().begin(), record.members().end()) {
  std::sort(members_.begin(), members_.end(), ById);
}

const inner::member_record* raft_membership::Find(member_id id) const {
  for (const inner::member_record& member : members_) {
    if (member.id() == id) {
      return &member;
    }
  }
  return nullptr;
}

bool raft_membership::IsVoter(member_id id) const {
  const inner::member_record* member = Find(id);
  return member != nullptr && member->role() == inner::VOTER;
}

size_t raft_membership::VoterCount() const {
  return static_cast<size_t>(std::count_if(
      members_.begin(), members_.end(), [](const inner::member_record& member) {
        return member.role() == inner::VOTER;
      }));
}

bool raft_membership::IsQuorum(
    const absl::flat_hash_set<member_id>& ids) const {
  size_t voters = 0;
  for (const member_id id : ids) {
    voters += IsVoter(id) ? 1 : 0;
  }
  return voters >= Quorum();
}

result<raft_membership> raft_membership::After(
    const membership_change& change) const {
  const member_id id = change.member.id();
  switch (change.kind) {
    case membership_change_kind::kAddStandby:
      return AfterAdd(change.member);
    case membership_change_kind::kPromote:
      return AfterRoleChange(id, inner::STANDBY, inner::VOTER);
    case membership_change_kind::kDemote:
      return AfterRoleChange(id, inner::VOTER, inner::STANDBY);
    case membership_change_kind::kRemove:
      return AfterRemove(id);
  }
  return MemberError(error_kind::kValueOutOfRange, id,
                     "unknown kind of change");
}

result<raft_membership> raft_membership::AfterAdd(
    const inner::member_record& added) const {
  if (added.id() == 0 || members_.size() >= kMaxMembers) {
    return MemberError(error_kind::kValueOutOfRange, added.id(),
                       "no id, or too many members");
  }
  for (const inner::member_record& member : members_) {
    if (member.id() == added.id()) {
      return MemberError(error_kind::kDuplicateName, added.id(), "is a member");
    }
  }
  raft_membership after = *this;
  after.members_.push_back(added);
  after.members_.back().set_role(inner::STANDBY);
  std::sort(after.members_.begin(), after.members_.end(), ById);
  return after;
}

result<raft_membership> raft_membership::AfterRoleChange(
    member_id id, inner::member_role from, inner::member_role to) const {
  raft_membership after = *this;
  for (inner::member_record& member : after.members_) {
    if (member.id() != id || member.role() != from) {
      continue;
    }
    member.set_role(to);
    if (after.VoterCount() == 0) {
      return MemberError(error_kind::kValueOutOfRange, id, "is the last voter");
    }
    return after;
  }
  return MemberError(error_kind::kUnknownMember, id,
                     "not a member in that role");
}

result<raft_membership> raft_membership::AfterRemove(member_id id) const {
  const inner::member_record* member = Find(id);
  if (member == nullptr || member->role() != inner::STANDBY) {
    return MemberError(error_kind::kUnknownMember, id, "not a standby");
  }
  raft_membership after = *this;
  after.members_.erase(after.members_.begin() + (member - members_.data()));
  return after;
}

inner::membership_record raft_membership::ToRecord() const {
  inner::membership_record record;
  for (const inner::member_record& member : members_) {
    *record.add_members() = member;
  }
  return record;
}

}  // namespace cardamomroute::control
