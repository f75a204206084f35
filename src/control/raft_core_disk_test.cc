#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <tuple>
#include <vector>

#include "control/raft_core.h"
#include "control/raft_test_support.h"

namespace cardamomroute::control {
namespace {

/// A group of three voters whose leader has committed entries with only one
/// other voter, `rolled_back`, while the third, `isolated`, is cut off. Tests
/// then restore the disk of `rolled_back` from before these entries.
struct old_copy_scenario {
  explicit old_copy_scenario(uint64_t seed) : group(3, 3, seed) {
    group.SetRepair(false);
    group.RunUntilLeader(5000);
    leader = *group.LeaderVm();
    rolled_back = (leader + 1) % 3;
    isolated = (leader + 2) % 3;
    group.Run(500);
    group.Isolate(isolated);
    for (int i = 0; i < 20; ++i) {
      group.Propose(leader, "held by two");
      group.Run(20);
    }
  }

  fake_group group;
  size_t leader;
  size_t rolled_back;
  size_t isolated;
};

RC_BOOST_PROP(OldCopyElectsNoLeaderWithoutItsFormerEntries, (uint64_t seed)) {
  old_copy_scenario scenario(seed);
  const auto permille = *rc::gen::inRange<size_t>(0, 1000);
  scenario.group.Crash(scenario.leader);
  RC_ASSERT(scenario.group.RollBack(scenario.rolled_back, permille));
  scenario.group.HealNetwork();
  scenario.group.Run(5000);
  RC_ASSERT(!scenario.group.LeaderVm().has_value());
  scenario.group.Restart(scenario.leader);
  RC_ASSERT(scenario.group.RunUntilLeader(10000) != nullptr);
  RC_ASSERT(scenario.group.Violations() == std::vector<std::string>());
}

RC_BOOST_PROP(LeaderWithLaterPositionsDetectsOldCopy, (uint64_t seed)) {
  old_copy_scenario scenario(seed);
  scenario.group.HealNetwork();
  scenario.group.Run(500);
  const auto permille = *rc::gen::inRange<size_t>(0, 500);
  RC_ASSERT(scenario.group.RollBack(scenario.rolled_back, permille));
  scenario.group.Run(500);
  RC_ASSERT(scenario.group.OldCopiesFound() == 1U);
}

/// Guards against losing the recorded disk positions when the leader that
/// received them fails: its successor must know them too.
BOOST_AUTO_TEST_CASE(NextLeaderDetectsOldCopy) {
  old_copy_scenario scenario(3);
  scenario.group.HealNetwork();
  scenario.group.Run(1000);
  scenario.group.Crash(scenario.rolled_back);
  scenario.group.Transfer(scenario.isolated);
  scenario.group.Run(100);
  BOOST_REQUIRE(*scenario.group.LeaderVm() == scenario.isolated);
  scenario.group.Crash(scenario.leader);
  BOOST_REQUIRE(scenario.group.RollBack(scenario.rolled_back, 500));
  scenario.group.Run(400);
  BOOST_TEST(scenario.group.OldCopiesFound() == 1U);
}

BOOST_AUTO_TEST_CASE(RestartOfAllVotersElectsALeader) {
  fake_group group(3, 3, 4);
  BOOST_REQUIRE(group.RunUntilLeader(5000) != nullptr);
  for (size_t vm = 0; vm < 3; ++vm) {
    group.Crash(vm);
    group.Restart(vm);
  }
  BOOST_TEST(group.RunUntilLeader(5000) != nullptr);
  group.Run(500);
  for (size_t vm = 0; vm < 3; ++vm) {
    BOOST_TEST(group.CoreOf(vm)->IsVerified());
  }
}

/// Two of three voters restart and the third has lost its disk. Guards against
/// a group that cannot elect a leader because it also excludes an unverified
/// voter: a lost disk is already the one loss that the group tolerates.
BOOST_AUTO_TEST_CASE(UnverifiedVotersCountAfterADiskLoss) {
  fake_group group(3, 3, 5);
  BOOST_REQUIRE(group.RunUntilLeader(5000) != nullptr);
  BOOST_REQUIRE(group.LoseDisk(0));
  for (size_t vm = 1; vm < 3; ++vm) {
    group.Crash(vm);
    group.Restart(vm);
  }
  BOOST_TEST(group.RunUntilLeader(5000) != nullptr);
}

/// Any sequence of restarts and writes of one disk agrees with the positions
/// recorded of it. A copy that lacks a recorded position contradicts them.
RC_BOOST_PROP(OnlyAnOldCopyContradictsRecordedPositions, ()) {
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, bool>>>(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
  raft_positions positions;
  inner::raft_position disk;
  disk.set_member(1);
  uint64_t starts = 1;
  disk.set_run(RunOf(starts, 7));
  inner::raft_position recorded = disk;
  positions.Record(recorded);
  for (const auto& [kind, is_recorded] : steps) {
    disk.set_run(RunOf(starts += kind == 0 ? 1 : 0, 7));
    disk.set_term(disk.term() + (kind == 1 ? 1 : 0));
    disk.set_index(disk.index() + (kind == 2 ? 1 : 0));
    RC_ASSERT_FALSE(positions.Contradicts(disk));
    if (is_recorded) {
      recorded = disk;
      positions.Record(recorded);
    }
  }
  inner::raft_position copy = recorded;
  copy.set_run(RunOf(StartsOf(recorded.run()) + 1, 9));
  RC_ASSERT_FALSE(positions.Contradicts(copy));
  copy.set_index(copy.index() - 1);
  RC_ASSERT(recorded.index() == 0U || positions.Contradicts(copy));
  copy = recorded;
  copy.set_run(RunOf(StartsOf(recorded.run()), 9));
  RC_ASSERT(positions.Contradicts(copy));
}

}  // namespace
}  // namespace cardamomroute::control
