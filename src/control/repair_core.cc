#include "control/repair_core.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

/// Until when each member counts as about to stop.
using leave_times = absl::flat_hash_map<member_id, absl::Time>;

/// The members' availability as the leader `self` sees it at `now`.
class member_availability {
 public:
  member_availability(member_id self,
                      const std::vector<raft_member_status>& members,
                      const leave_times& leaving, absl::Time now)
      : self_(self), members_(members), leaving_(leaving), now_(now) {}

  bool IsSilent(const raft_member_status& status) const {
    return IsDiskLost(status) ||
           (status.member.id() != self_ &&
            now_ >= status.last_contact + kMemberContactTimeout);
  }

  /// True if the member is gone for good, because its VM has another disk.
  bool IsDiskLost(const raft_member_status& status) const {
    return status.member.id() != self_ && status.disk_lost &&
           now_ >= status.last_contact + kLostMemberContactTimeout;
  }

  /// True if the member is about to stop.
  bool IsLeaving(const raft_member_status& status) const {
    const auto found = leaving_.find(status.member.id());
    return status.member.id() != self_ && found != leaving_.end() &&
           now_ < found->second;
  }

  /// True if the member answered within kMaxPromotionContactAge.
  bool IsRecentlyContacted(const raft_member_status& status) const {
    return now_ < status.last_contact + kMaxPromotionContactAge;
  }

  static bool IsVoter(const raft_member_status& status) {
    return status.member.role() == inner::VOTER;
  }

  size_t Voters() const {
    return static_cast<size_t>(
        std::count_if(members_.begin(), members_.end(), IsVoter));
  }

  size_t AvailableVoters() const {
    return static_cast<size_t>(std::count_if(
        members_.begin(), members_.end(), [this](const auto& status) {
          return IsVoter(status) && !IsSilent(status) && !IsLeaving(status);
        }));
  }

  /// Number of available voters in an availability zone.
  size_t VotersIn(const std::string& zone) const {
    return static_cast<size_t>(std::count_if(
        members_.begin(), members_.end(), [&](const auto& status) {
          return IsVoter(status) && !IsSilent(status) && !IsLeaving(status) &&
                 status.member.zone() == zone;
        }));
  }

  const std::vector<raft_member_status>& Members() const { return members_; }
  member_id Self() const { return self_; }

 private:
  member_id self_;
  const std::vector<raft_member_status>& members_;
  const leave_times& leaving_;
  absl::Time now_;
};

bool SharesNameOrAddress(const inner::member_record& a,
                         const inner::member_record& b) {
  return a.name() == b.name() || a.address() == b.address();
}

membership_change MakeChange(membership_change_kind kind,
                             const inner::member_record& member) {
  membership_change change;
  change.kind = kind;
  change.member = member;
  return change;
}

/// Returns the demotion of a voter other than the leader if its disk is lost or
/// there are more voters than wanted, and the demotion leaves a quorum of
/// available ones. Prefers a voter whose disk is lost, then the one that has
/// been silent longest, then one that is about to stop, then the one that lags
/// most.
std::optional<membership_change> FindDemotion(const member_availability& group,
                                              size_t wanted) {
  const bool has_extra = group.Voters() > wanted;
  const raft_member_status* chosen = nullptr;
  const auto is_preferred = [&](const raft_member_status& a,
                                const raft_member_status& b) {
    if (group.IsDiskLost(a) != group.IsDiskLost(b)) {
      return group.IsDiskLost(a);
    }
    if (group.IsSilent(a) != group.IsSilent(b)) {
      return group.IsSilent(a);
    }
    if (group.IsSilent(a) && a.last_contact != b.last_contact) {
      return a.last_contact < b.last_contact;
    }
    if (group.IsLeaving(a) != group.IsLeaving(b)) {
      return group.IsLeaving(a);
    }
    return a.match_index < b.match_index;
  };
  for (const raft_member_status& status : group.Members()) {
    if (!member_availability::IsVoter(status) ||
        status.member.id() == group.Self() ||
        !(has_extra || group.IsDiskLost(status))) {
      continue;
    }
    if (chosen == nullptr || is_preferred(status, *chosen)) {
      chosen = &status;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const bool is_available =
      !group.IsSilent(*chosen) && !group.IsLeaving(*chosen);
  const size_t left = group.AvailableVoters() - (is_available ? 1 : 0);
  const size_t quorum = (group.Voters() - 1) / 2 + 1;
  if (left < quorum) {
    return std::nullopt;
  }
  return MakeChange(membership_change_kind::kDemote, chosen->member);
}

/// Returns the promotion of a standby if fewer voters are available than
/// wanted. Prefers the availability zone with the fewest available voters, then
/// the standby that has the most entries.
std::optional<membership_change> FindPromotion(const member_availability& group,
                                               size_t wanted) {
  if (group.AvailableVoters() >= wanted || group.Voters() > wanted) {
    return std::nullopt;
  }
  const raft_member_status* chosen = nullptr;
  const auto is_preferred = [&](const raft_member_status& a,
                                const raft_member_status& b) {
    const size_t in_a = group.VotersIn(a.member.zone());
    const size_t in_b = group.VotersIn(b.member.zone());
    return in_a != in_b ? in_a < in_b : a.match_index > b.match_index;
  };
  for (const raft_member_status& status : group.Members()) {
    if (member_availability::IsVoter(status) ||
        !group.IsRecentlyContacted(status) || !status.caught_up ||
        group.IsLeaving(status)) {
      continue;
    }
    if (chosen == nullptr || is_preferred(status, *chosen)) {
      chosen = &status;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return MakeChange(membership_change_kind::kPromote, chosen->member);
}

/// Returns the removal of a silent standby whose VM has rejoined as another
/// member.
std::optional<membership_change> FindRemoval(const member_availability& group) {
  for (const raft_member_status& old : group.Members()) {
    if (member_availability::IsVoter(old) || !group.IsSilent(old)) {
      continue;
    }
    for (const raft_member_status& other : group.Members()) {
      if (other.member.id() != old.member.id() && !group.IsSilent(other) &&
          SharesNameOrAddress(other.member, old.member)) {
        return MakeChange(membership_change_kind::kRemove, old.member);
      }
    }
  }
  return std::nullopt;
}

/// Returns the standby that has been silent longest, or null if none is silent.
const raft_member_status* LongestSilentStandby(
    const member_availability& group) {
  const raft_member_status* chosen = nullptr;
  for (const raft_member_status& status : group.Members()) {
    if (member_availability::IsVoter(status) || !group.IsSilent(status)) {
      continue;
    }
    if (chosen == nullptr || status.last_contact < chosen->last_contact) {
      chosen = &status;
    }
  }
  return chosen;
}

bool IsMember(const member_availability& group, member_id id) {
  return std::any_of(
      group.Members().begin(), group.Members().end(),
      [id](const auto& status) { return status.member.id() == id; });
}

}  // namespace

repair_core::repair_core(size_t wanted_voters)
    : wanted_voters_(wanted_voters) {}

result<void> repair_core::RequestJoin(
    const inner::member_record& joiner,
    const std::vector<raft_member_status>& members, absl::Time now) {
  const member_availability availability(0, members, leaving_until_, now);
  if (IsMember(availability, joiner.id())) {
    return boost::outcome_v2::success();
  }
  const std::string place = absl::StrCat("member ", joiner.id());
  for (const raft_member_status& status : members) {
    if (!availability.IsSilent(status) &&
        SharesNameOrAddress(status.member, joiner)) {
      return error{error_kind::kDuplicateName, place,
                   absl::StrCat("name or address in use by available member ",
                                status.member.id())};
    }
  }
  if (members.size() >= kMaxMembers &&
      LongestSilentStandby(availability) == nullptr) {
    return error{error_kind::kValueOutOfRange, place,
                 "too many members and no silent standby to remove"};
  }
  const auto is_replaced = [&](const join_request& request) {
    return request.joiner.id() == joiner.id() || now >= request.expires_at;
  };
  requests_.erase(
      std::remove_if(requests_.begin(), requests_.end(), is_replaced),
      requests_.end());
  if (requests_.size() < kMaxMembers) {
    requests_.push_back({joiner, now + kJoinRequestLifetime});
  }
  return boost::outcome_v2::success();
}

quorum_margin repair_core::Margin(
    member_id self, const std::vector<raft_member_status>& members,
    absl::Time now) const {
  const member_availability group(self, members, leaving_until_, now);
  quorum_margin margin;
  margin.voters = group.Voters();
  margin.available = group.AvailableVoters();
  const size_t quorum = margin.voters / 2 + 1;
  margin.spare = margin.available - std::min(margin.available, quorum);
  return margin;
}

void repair_core::RequestLeave(member_id voter, absl::Time now) {
  absl::erase_if(leaving_until_,
                 [now](const auto& entry) { return now >= entry.second; });
  leaving_until_[voter] = now + kLeaveRequestLifetime;
}

std::optional<membership_change> repair_core::NextChange(
    member_id self, const std::vector<raft_member_status>& members,
    absl::Time now) {
  const member_availability availability(self, members, leaving_until_, now);
  if (auto change = FindDemotion(availability, wanted_voters_)) {
    return change;
  }
  if (auto change = FindPromotion(availability, wanted_voters_)) {
    return change;
  }
  if (auto change = FindRemoval(availability)) {
    return change;
  }
  const auto is_obsolete = [&](const join_request& request) {
    return now >= request.expires_at ||
           IsMember(availability, request.joiner.id());
  };
  requests_.erase(
      std::remove_if(requests_.begin(), requests_.end(), is_obsolete),
      requests_.end());
  if (requests_.empty()) {
    return std::nullopt;
  }
  if (members.size() < kMaxMembers) {
    return MakeChange(membership_change_kind::kAddStandby,
                      requests_.front().joiner);
  }
  const raft_member_status* silent = LongestSilentStandby(availability);
  if (silent == nullptr) {
    return std::nullopt;
  }
  return MakeChange(membership_change_kind::kRemove, silent->member);
}

}  // namespace cardamomroute::control
