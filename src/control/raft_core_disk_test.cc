#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <tuple>
#include <vector>

#include "control/raft_core.h"
#include "control/raft_test_support.h"

namespace cardamomroute::control {
namespace {

/// A group of three whose leader has committed entries with one voter only,
/// which then gets back a copy of its disk from before these; the third voter
/// is cut off until then.
struct old_copy_scene {
  explicit old_copy_scene(uint64_t seed) : group(3, 3, seed) {
    group.SetRepair(false);
    group.RunUntilLeader(5000);
    leader = *group.LeaderVm();
    holder = (leader + 1) % 3;
    other = (leader + 2) % 3;
    group.Run(500);
    group.Isolate(other);
    for (int i = 0; i < 20; ++i) {
      group.Propose(leader, "held by two");
      group.Run(20);
    }
  }

  fake_group group;
  size_t leader;
  size_t holder;
  size_t other;
};

RC_BOOST_PROP(AnOldCopyElectsNoLeaderThatLacksItsEntries, (uint64_t seed)) {
  old_copy_scene scene(seed);
  const auto permille = *rc::gen::inRange<size_t>(0, 1000);
  scene.group.Crash(scene.leader);
  RC_ASSERT(scene.group.RollBack(scene.holder, permille));
  scene.group.HealNetwork();
  scene.group.Run(5000);
  RC_ASSERT(!scene.group.LeaderVm().has_value());
  scene.group.Restart(scene.leader);
  RC_ASSERT(scene.group.RunUntilLeader(10000) != nullptr);
  RC_ASSERT(scene.group.Violations() == std::vector<std::string>());
}

RC_BOOST_PROP(AnOldCopyIsGivenUpWhereTheLeaderKnowsBetter, (uint64_t seed)) {
  old_copy_scene scene(seed);
  scene.group.HealNetwork();
  scene.group.Run(500);
  const auto permille = *rc::gen::inRange<size_t>(0, 500);
  RC_ASSERT(scene.group.RollBack(scene.holder, permille));
  scene.group.Run(500);
  RC_ASSERT(scene.group.OldCopiesFound() == 1U);
}

/// Whoever leads next knows what the leader before it had heard.
BOOST_AUTO_TEST_CASE(TheNextLeaderFindsAnOldCopyToo) {
  old_copy_scene scene(3);
  scene.group.HealNetwork();
  scene.group.Run(1000);
  scene.group.Crash(scene.holder);
  scene.group.Transfer(scene.other);
  scene.group.Run(100);
  BOOST_REQUIRE(*scene.group.LeaderVm() == scene.other);
  scene.group.Crash(scene.leader);
  BOOST_REQUIRE(scene.group.RollBack(scene.holder, 500));
  scene.group.Run(400);
  BOOST_TEST(scene.group.OldCopiesFound() == 1U);
}

BOOST_AUTO_TEST_CASE(ARestartOfAllEndsWithALeader) {
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

/// Two of three voters start again, the third has lost its disk: the loss that
/// an unverified voter is doubted for has happened elsewhere.
BOOST_AUTO_TEST_CASE(VotersAreNotDoubtedBesideALostDisk) {
  fake_group group(3, 3, 5);
  BOOST_REQUIRE(group.RunUntilLeader(5000) != nullptr);
  BOOST_REQUIRE(group.LoseDisk(0));
  for (size_t vm = 1; vm < 3; ++vm) {
    group.Crash(vm);
    group.Restart(vm);
  }
  BOOST_TEST(group.RunUntilLeader(5000) != nullptr);
}

/// However often a disk is started and written, it contradicts nothing that
/// was seen of it; a copy that lacks what was seen does.
RC_BOOST_PROP(OnlyAnOldCopyContradictsWhatWasSeen, ()) {
  const auto steps = *rc::gen::container<std::vector<std::tuple<int, bool>>>(
      rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::arbitrary<bool>()));
  raft_positions positions;
  inner::raft_position disk;
  disk.set_member(1);
  uint64_t starts = 1;
  disk.set_run(RunOf(starts, 7));
  inner::raft_position seen = disk;
  positions.Record(seen);
  for (const auto& [kind, is_seen] : steps) {
    disk.set_run(RunOf(starts += kind == 0 ? 1 : 0, 7));
    disk.set_term(disk.term() + (kind == 1 ? 1 : 0));
    disk.set_index(disk.index() + (kind == 2 ? 1 : 0));
    RC_ASSERT_FALSE(positions.Contradicts(disk));
    if (is_seen) {
      seen = disk;
      positions.Record(seen);
    }
  }
  inner::raft_position copy = seen;
  copy.set_run(RunOf(StartsOf(seen.run()) + 1, 9));
  RC_ASSERT_FALSE(positions.Contradicts(copy));
  copy.set_index(copy.index() - 1);
  RC_ASSERT(seen.index() == 0U || positions.Contradicts(copy));
  copy = seen;
  copy.set_run(RunOf(StartsOf(seen.run()), 9));
  RC_ASSERT(positions.Contradicts(copy));
}

}  // namespace
}  // namespace cardamomroute::control
