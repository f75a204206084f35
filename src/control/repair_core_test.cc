#include "control/repair_core.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "control/raft_membership.h"
#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

constexpr member_id kLeader = 1;
const absl::Time kNow = absl::FromUnixSeconds(1000);

raft_member_status Status(member_id id, inner::member_role role,
                          absl::Duration silent_for, bool caught_up = true) {
  raft_member_status status;
  status.member.set_id(id);
  status.member.set_name(absl::StrCat("vm", id));
  status.member.set_address(absl::StrCat("vm", id, ":1"));
  status.member.set_role(role);
  status.last_contact = kNow - silent_for;
  status.caught_up = caught_up;
  return status;
}

raft_member_status LostStatus(member_id id, inner::member_role role,
                              absl::Duration silent_for) {
  raft_member_status status = Status(id, role, silent_for);
  status.disk_lost = true;
  return status;
}

inner::membership_record RecordOf(
    const std::vector<raft_member_status>& members) {
  inner::membership_record record;
  for (const raft_member_status& status : members) {
    *record.add_members() = status.member;
  }
  return record;
}

size_t AvailableVoters(const std::vector<raft_member_status>& members) {
  return static_cast<size_t>(std::count_if(
      members.begin(), members.end(), [](const raft_member_status& status) {
        const absl::Duration timeout = status.disk_lost
                                           ? kLostMemberContactTimeout
                                           : kMemberContactTimeout;
        return status.member.role() == inner::VOTER &&
               kNow < status.last_contact + timeout;
      }));
}

/// Returns the members as the leader sees them after the change.
std::vector<raft_member_status> After(
    const std::vector<raft_member_status>& members,
    const membership_change& change) {
  const auto membership =
      raft_membership(RecordOf(members)).After(change).value();
  std::vector<raft_member_status> after;
  for (const inner::member_record& member : membership.Members()) {
    raft_member_status status = Status(member.id(), member.role(), {});
    for (const raft_member_status& before : members) {
      if (before.member.id() == member.id()) {
        status = before;
      }
    }
    status.member = member;
    after.push_back(status);
  }
  return after;
}

rc::Gen<raft_member_status> RandomMember(member_id id) {
  return rc::gen::apply(
      [id](bool voter, int silent_ms, bool caught_up, bool disk_lost) {
        raft_member_status status =
            Status(id, voter ? inner::VOTER : inner::STANDBY,
                   absl::Milliseconds(silent_ms), caught_up);
        status.disk_lost = disk_lost;
        return status;
      },
      rc::gen::arbitrary<bool>(),
      rc::gen::element(0, 50, 499, 500, 1000, 1999, 2000, 2999, 3000, 9000),
      rc::gen::arbitrary<bool>(), rc::gen::arbitrary<bool>());
}

/// From any state in which the leader has a quorum, repairs terminate, keep the
/// quorum at each step, promote only members that answered recently and have
/// caught up, and replace silent voters as long as there are such standbys.
RC_BOOST_PROP(RepairsTerminateAndKeepTheQuorum, ()) {
  std::vector<raft_member_status> members = {Status(kLeader, inner::VOTER, {})};
  const auto others = *rc::gen::inRange<member_id>(0, kMaxMembers);
  for (member_id id = 2; id < 2 + others; ++id) {
    members.push_back(*RandomMember(id));
  }
  const auto quorum = [&] {
    return raft_membership(RecordOf(members)).Quorum();
  };
  RC_PRE(AvailableVoters(members) >= quorum());
  repair_core repair(3);
  int changes = 0;
  while (const auto change = repair.NextChange(kLeader, members, kNow)) {
    RC_ASSERT(++changes <= 10);
    RC_ASSERT(change->member.id() != kLeader);
    if (change->kind == membership_change_kind::kPromote) {
      const auto promoted =
          std::find_if(members.begin(), members.end(), [&](const auto& status) {
            return status.member.id() == change->member.id();
          });
      RC_ASSERT(promoted->caught_up);
      RC_ASSERT(kNow < promoted->last_contact + kMaxPromotionContactAge);
    }
    const size_t before = AvailableVoters(members);
    members = After(members, *change);
    RC_ASSERT(AvailableVoters(members) >= quorum());
    RC_ASSERT(AvailableVoters(members) >= std::min<size_t>(before, 3));
  }
  const bool has_promotable_standby = std::any_of(
      members.begin(), members.end(), [](const raft_member_status& status) {
        return status.member.role() == inner::STANDBY && status.caught_up &&
               kNow < status.last_contact + kMaxPromotionContactAge;
      });
  RC_ASSERT(AvailableVoters(members) >= 3U || !has_promotable_standby);
}

BOOST_AUTO_TEST_CASE(ALostVoterIsDemotedOnlyAfterThePromotion) {
  repair_core repair(3);
  std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      Status(3, inner::VOTER, kMemberContactTimeout),
      Status(4, inner::STANDBY, {})};
  const auto first = repair.NextChange(kLeader, members, kNow);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((first->kind == membership_change_kind::kPromote));
  BOOST_TEST(first->member.id() == 4U);
  members = After(members, *first);
  const auto second = repair.NextChange(kLeader, members, kNow);
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((second->kind == membership_change_kind::kDemote));
  BOOST_TEST(second->member.id() == 3U);
  members = After(members, *second);
  BOOST_TEST(!repair.NextChange(kLeader, members, kNow).has_value());
}

BOOST_AUTO_TEST_CASE(AVmThatLostItsDiskRejoinsAndReplacesItsOldMember) {
  repair_core repair(3);
  std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      Status(3, inner::VOTER, kMemberContactTimeout)};
  inner::member_record joiner = members[2].member;
  joiner.set_id(9);
  BOOST_TEST(repair.RequestJoin(joiner, members, kNow).has_value());
  std::vector<std::string> changes;
  while (const auto change = repair.NextChange(kLeader, members, kNow)) {
    changes.push_back(absl::StrCat(std::string(NameOf(change->kind)), " ",
                                   change->member.id()));
    members = After(members, *change);
  }
  const std::vector<std::string> expected = {"add-standby 9", "promote 9",
                                             "demote 3", "remove 3"};
  BOOST_TEST(changes == expected, boost::test_tools::per_element());
}

/// Guards against waiting for kMemberContactTimeout where the VM itself has
/// said that its disk is empty: a second disk that was lost meanwhile left the
/// group without a quorum for good.
BOOST_AUTO_TEST_CASE(AKnownDiskLossIsRepairedBeforeTheContactTimeout) {
  repair_core repair(3);
  std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      LostStatus(3, inner::VOTER, kLostMemberContactTimeout)};
  inner::member_record joiner = members[2].member;
  joiner.set_id(9);
  BOOST_TEST(repair.RequestJoin(joiner, members, kNow).has_value());
  std::vector<std::string> changes;
  while (const auto change = repair.NextChange(kLeader, members, kNow)) {
    changes.push_back(absl::StrCat(std::string(NameOf(change->kind)), " ",
                                   change->member.id()));
    members = After(members, *change);
  }
  const std::vector<std::string> expected = {"demote 3", "add-standby 9",
                                             "promote 9", "remove 3"};
  BOOST_TEST(changes == expected, boost::test_tools::per_element());
}

/// Guards against a voter that stops in an orderly way and stays a voter until
/// it was silent for long: one more loss then left no quorum.
BOOST_AUTO_TEST_CASE(AStandbyTakesThePlaceOfAVoterThatIsAboutToStop) {
  repair_core repair(3);
  std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      Status(3, inner::VOTER, {}), Status(4, inner::STANDBY, {})};
  repair.RequestLeave(3, kNow);
  std::vector<std::string> changes;
  while (const auto change = repair.NextChange(kLeader, members, kNow)) {
    changes.push_back(absl::StrCat(std::string(NameOf(change->kind)), " ",
                                   change->member.id()));
    members = After(members, *change);
  }
  const std::vector<std::string> expected = {"promote 4", "demote 3"};
  BOOST_TEST(changes == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(AVoterThatIsAboutToStopStaysWhereNobodyReplacesIt) {
  repair_core repair(3);
  const std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      Status(3, inner::VOTER, {}),
      Status(4, inner::STANDBY, kMemberContactTimeout)};
  repair.RequestLeave(3, kNow);
  BOOST_TEST(!repair.NextChange(kLeader, members, kNow).has_value());
}

/// Another VM that was given the name of a member by mistake does not displace
/// it: the member still answers.
BOOST_AUTO_TEST_CASE(AMemberThatAnswersKeepsItsPlaceWhoeverClaimsItsName) {
  repair_core repair(3);
  const std::vector<raft_member_status> members = {
      Status(1, inner::VOTER, {}), Status(2, inner::VOTER, {}),
      LostStatus(3, inner::VOTER, absl::Milliseconds(250))};
  inner::member_record joiner = members[2].member;
  joiner.set_id(9);
  BOOST_TEST((repair.RequestJoin(joiner, members, kNow).error().kind ==
              error_kind::kDuplicateName));
  BOOST_TEST(!repair.NextChange(kLeader, members, kNow).has_value());
}

BOOST_AUTO_TEST_CASE(TheMarginCountsVotersThatMayBeLost) {
  repair_core repair(5);
  std::vector<raft_member_status> members;
  for (member_id id = 1; id <= 5; ++id) {
    members.push_back(Status(id, inner::VOTER, {}));
  }
  members.push_back(Status(6, inner::STANDBY, {}));
  const auto spare = [&] {
    return repair.Margin(kLeader, members, kNow).spare;
  };
  BOOST_TEST(spare() == 2U);
  members[1].last_contact = kNow - kMemberContactTimeout;
  BOOST_TEST(spare() == 1U);
  repair.RequestLeave(3, kNow);
  BOOST_TEST(spare() == 0U);
  members[3].last_contact = kNow - kMemberContactTimeout;
  BOOST_TEST(spare() == 0U);
}

/// A margin is reported when it changes, and again while there is none.
BOOST_AUTO_TEST_CASE(AMarginOfNoneIsReportedRepeatedly) {
  quorum_watch watch;
  BOOST_TEST(watch.IsReportDue({3, 3, 1}, kNow));
  BOOST_TEST(!watch.IsReportDue({3, 3, 1}, kNow + absl::Hours(1)));
  BOOST_TEST(watch.IsReportDue({3, 2, 0}, kNow));
  const absl::Time again = kNow + kNoSpareReportInterval;
  BOOST_TEST(!watch.IsReportDue({3, 2, 0}, again - absl::Milliseconds(1)));
  BOOST_TEST(watch.IsReportDue({3, 2, 0}, again));
  BOOST_TEST(!watch.IsReportDue({3, 2, 0}, again));
  watch.Reset();
  BOOST_TEST(watch.IsReportDue({3, 2, 0}, again));
}

BOOST_AUTO_TEST_CASE(JoinsWithANameInUseOrToAFullGroupAreRejected) {
  repair_core repair(3);
  std::vector<raft_member_status> members;
  for (member_id id = 1; id <= kMaxMembers; ++id) {
    members.push_back(Status(id, id <= 3 ? inner::VOTER : inner::STANDBY, {}));
  }
  inner::member_record joiner = members[6].member;
  joiner.set_id(9);
  BOOST_TEST((repair.RequestJoin(joiner, members, kNow).error().kind ==
              error_kind::kDuplicateName));
  joiner.set_name("new");
  joiner.set_address("new:1");
  BOOST_TEST((repair.RequestJoin(joiner, members, kNow).error().kind ==
              error_kind::kValueOutOfRange));
  members[4].last_contact = kNow - kMemberContactTimeout;
  BOOST_TEST(repair.RequestJoin(joiner, members, kNow).has_value());
  const auto change = repair.NextChange(kLeader, members, kNow);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change->kind == membership_change_kind::kRemove));
  BOOST_TEST(change->member.id() == 5U);
}

}  // namespace
}  // namespace cardamomroute::control
