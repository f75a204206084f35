#include "control/repair_core.h"

#include <algorithm>
#include <string>

#include "absl/strings/str_cat.h"
#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

/// The members as the leader `self` sees them at one moment.
class availability {
 public:
  availability(member_id self, const std::vector<raft_member_status>& members,
               absl::Time now)
      : self_(self), members_(members), now_(now) {}

  bool IsSilent(const raft_member_status& status) const {
    return status.member.id() != self_ &&
           now_ >= status.last_contact + kMemberLease;
  }

  /// True if the member answered a moment ago.
  bool IsPresent(const raft_member_status& status) const {
    return now_ < status.last_contact + kPromotionContact;
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
          return IsVoter(status) && !IsSilent(status);
        }));
  }

  /// Available voters in an availability zone.
  size_t VotersIn(const std::string& zone) const {
    return static_cast<size_t>(std::count_if(
        members_.begin(), members_.end(), [&](const auto& status) {
          return IsVoter(status) && !IsSilent(status) &&
                 status.member.zone() == zone;
        }));
  }

  const std::vector<raft_member_status>& Members() const { return members_; }
  member_id Self() const { return self_; }

 private:
  member_id self_;
  const std::vector<raft_member_status>& members_;
  absl::Time now_;
};

bool SharesPlace(const inner::member_record& a, const inner::member_record& b) {
  return a.name() == b.name() || a.address() == b.address();
}

membership_change Change(membership_change_kind kind,
                         const inner::member_record& member) {
  membership_change change;
  change.kind = kind;
  change.member = member;
  return change;
}

/// The voter to demote where there are more than wanted: the one that has
/// been silent longest, else the one that lags most.
std::optional<membership_change> DemoteSurplus(const availability& now,
                                               size_t wanted) {
  if (now.Voters() <= wanted) {
    return std::nullopt;
  }
  const raft_member_status* chosen = nullptr;
  const auto goes_first = [&](const raft_member_status& a,
                              const raft_member_status& b) {
    if (now.IsSilent(a) != now.IsSilent(b)) {
      return now.IsSilent(a);
    }
    if (now.IsSilent(a) && a.last_contact != b.last_contact) {
      return a.last_contact < b.last_contact;
    }
    return a.match_index < b.match_index;
  };
  for (const raft_member_status& status : now.Members()) {
    if (!availability::IsVoter(status) || status.member.id() == now.Self()) {
      continue;
    }
    if (chosen == nullptr || goes_first(status, *chosen)) {
      chosen = &status;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  const size_t left = now.AvailableVoters() - (now.IsSilent(*chosen) ? 0 : 1);
  const size_t quorum = (now.Voters() - 1) / 2 + 1;
  if (left < quorum) {
    return std::nullopt;
  }
  return Change(membership_change_kind::kDemote, chosen->member);
}

/// The standby to promote where fewer voters are available than wanted. The
/// availability zone with the fewest available voters goes first.
std::optional<membership_change> PromoteMissing(const availability& now,
                                                size_t wanted) {
  if (now.AvailableVoters() >= wanted || now.Voters() > wanted) {
    return std::nullopt;
  }
  const raft_member_status* chosen = nullptr;
  const auto goes_first = [&](const raft_member_status& a,
                              const raft_member_status& b) {
    const size_t in_a = now.VotersIn(a.member.zone());
    const size_t in_b = now.VotersIn(b.member.zone());
    return in_a != in_b ? in_a < in_b : a.match_index > b.match_index;
  };
  for (const raft_member_status& status : now.Members()) {
    if (availability::IsVoter(status) || !now.IsPresent(status) ||
        !status.caught_up) {
      continue;
    }
    if (chosen == nullptr || goes_first(status, *chosen)) {
      chosen = &status;
    }
  }
  if (chosen == nullptr) {
    return std::nullopt;
  }
  return Change(membership_change_kind::kPromote, chosen->member);
}

/// A silent standby whose VM is back as another member.
std::optional<membership_change> RemoveSuperseded(const availability& now) {
  for (const raft_member_status& old : now.Members()) {
    if (availability::IsVoter(old) || !now.IsSilent(old)) {
      continue;
    }
    for (const raft_member_status& other : now.Members()) {
      if (other.member.id() != old.member.id() && !now.IsSilent(other) &&
          SharesPlace(other.member, old.member)) {
        return Change(membership_change_kind::kRemove, old.member);
      }
    }
  }
  return std::nullopt;
}

/// The standby that has been silent longest, or null.
const raft_member_status* LongestSilentStandby(const availability& now) {
  const raft_member_status* chosen = nullptr;
  for (const raft_member_status& status : now.Members()) {
    if (availability::IsVoter(status) || !now.IsSilent(status)) {
      continue;
    }
    if (chosen == nullptr || status.last_contact < chosen->last_contact) {
      chosen = &status;
    }
  }
  return chosen;
}

bool IsMember(const availability& now, member_id id) {
  return std::any_of(
      now.Members().begin(), now.Members().end(),
      [id](const auto& status) { return status.member.id() == id; });
}

}  // namespace

repair_core::repair_core(size_t wanted_voters)
    : wanted_voters_(wanted_voters) {}

result<void> repair_core::RequestJoin(
    const inner::member_record& joiner,
    const std::vector<raft_member_status>& members, absl::Time now) {
  const availability view(0, members, now);
  if (IsMember(view, joiner.id())) {
    return boost::outcome_v2::success();
  }
  const std::string place = absl::StrCat("member ", joiner.id());
  for (const raft_member_status& status : members) {
    if (!view.IsSilent(status) && SharesPlace(status.member, joiner)) {
      return error{error_kind::kDuplicateName, place,
                   absl::StrCat("name or address of available member ",
                                status.member.id())};
    }
  }
  if (members.size() >= kMaxMembers && LongestSilentStandby(view) == nullptr) {
    return error{error_kind::kValueOutOfRange, place, "too many members"};
  }
  const auto is_same = [&](const join_request& request) {
    return request.joiner.id() == joiner.id() || now >= request.expires_at;
  };
  requests_.erase(std::remove_if(requests_.begin(), requests_.end(), is_same),
                  requests_.end());
  if (requests_.size() < kMaxMembers) {
    requests_.push_back({joiner, now + kJoinRequestLife});
  }
  return boost::outcome_v2::success();
}

std::optional<membership_change> repair_core::NextChange(
    member_id self, const std::vector<raft_member_status>& members,
    absl::Time now) {
  const availability view(self, members, now);
  if (auto change = DemoteSurplus(view, wanted_voters_)) {
    return change;
  }
  if (auto change = PromoteMissing(view, wanted_voters_)) {
    return change;
  }
  if (auto change = RemoveSuperseded(view)) {
    return change;
  }
  const auto is_done = [&](const join_request& request) {
    return now >= request.expires_at || IsMember(view, request.joiner.id());
  };
  requests_.erase(std::remove_if(requests_.begin(), requests_.end(), is_done),
                  requests_.end());
  if (requests_.empty()) {
    return std::nullopt;
  }
  if (members.size() < kMaxMembers) {
    return Change(membership_change_kind::kAddStandby,
                  requests_.front().joiner);
  }
  const raft_member_status* silent = LongestSilentStandby(view);
  if (silent == nullptr) {
    return std::nullopt;
  }
  return Change(membership_change_kind::kRemove, silent->member);
}

}  // namespace cardamomroute::control
