#include "control/group_recovery.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "control/control_state_test_support.h"
#include "control/raft_core.h"
#include "control/raft_group.h"
#include "view/view_codec.h"

namespace cardamomroute::control {
namespace {

constexpr member_id kSelf = 1;

inner::membership_record ThreeVoters() {
  inner::membership_record founders;
  for (member_id id = kSelf; id < kSelf + 3; ++id) {
    inner::member_record* member = founders.add_members();
    member->set_id(id);
    member->set_role(inner::VOTER);
  }
  return founders;
}

recovered_state DiskWith(const std::vector<inner::command>& commands) {
  recovered_state disk = FoundingState(ThreeVoters());
  for (const inner::command& command : commands) {
    inner::raft_entry& entry = disk.entries.emplace_back();
    entry.set_index(disk.entries.size() + 1);
    entry.set_term(1);
    entry.set_command(command.SerializeAsString());
  }
  return disk;
}

// The new group's state contains every entry of the disk, and a delta takes a
// node from any version issued by the former group to that state.
RC_BOOST_PROP(RecoveryKeepsAllEntriesAndUpdatesNodesWithAnyVersion, ()) {
  command_runner runner;
  std::vector<inner::command> commands;
  std::map<uint64_t, view> issued_views = {{0, view()}};
  recovered_state disk = DiskWith({});
  control_state complete;
  for (int i = 0; i < 20; ++i) {
    commands.push_back(AnyCommand(complete));
    complete.Apply(commands.size() + 1, commands.back().SerializeAsString());
    issued_views[complete.View().version] = complete.View();
  }
  const auto kept = *rc::gen::inRange<size_t>(0, commands.size() + 1);
  commands.resize(kept);
  disk = DiskWith(commands);
  control_state expected;
  for (size_t i = 0; i < commands.size(); ++i) {
    expected.Apply(i + 2, commands[i].SerializeAsString());
  }
  const auto random = *rc::gen::arbitrary<uint64_t>();
  const auto snapshot =
      RecoverGroup(PlanRecovery(kSelf, disk).value(), random).value();
  control_state restored;
  RC_ASSERT(restored.Restore(snapshot->data()).has_value());
  RC_ASSERT(restored.Text().text == expected.Text().text);
  RC_ASSERT(restored.View().targets == expected.View().targets);
  RC_ASSERT(restored.View().balancers == expected.View().balancers);
  RC_ASSERT(restored.View().services.size() == expected.View().services.size());
  RC_ASSERT(restored.Nodes().NextId() > complete.Nodes().NextId());
  for (const auto& [version, old_view] : issued_views) {
    const auto updated = ApplyDelta(old_view, restored.DeltaFrom(version));
    RC_ASSERT(updated.has_value() && updated.value() == restored.View());
  }
  for (const service& item : restored.View().services) {
    RC_ASSERT(GroupOf(item.epoch) > 0);
    RC_ASSERT(item.previous_epoch == 0U);
  }
}

BOOST_AUTO_TEST_CASE(RefusesADiskWithoutAGroupOrMembership) {
  BOOST_TEST((PlanRecovery(kSelf, {}).error().kind == error_kind::kNoGroup));
  BOOST_TEST((PlanRecovery(9, DiskWith({})).error().kind ==
              error_kind::kDiskIdentity));
  recovered_state disk = DiskWith({});
  auto last = std::make_shared<inner::raft_snapshot_record>(*disk.snapshot);
  last->set_index(FirstInGroup(kMaxGroupNumber));
  disk.snapshot = last;
  BOOST_TEST((RecoverGroup(PlanRecovery(kSelf, disk).value(), 0).error().kind ==
              error_kind::kValueOutOfRange));
}

// Delivers messages between two cores for 20 rounds, enough for both to have
// nothing left to send.
void Exchange(raft_core* a, raft_core* b, absl::Time now) {
  for (int round = 0; round < 20; ++round) {
    for (const auto& [from, to] : {std::pair(a, b), std::pair(b, a)}) {
      raft_ready ready = from->TakeReady();
      from->Persisted(ready.sequence, now);
      for (const auto* messages :
           {&ready.messages_now, &ready.messages_after_sync}) {
        for (const inner::raft_message& message : *messages) {
          to->Step(message, now);
        }
      }
    }
  }
}

raft_core CoreOf(member_id self, recovered_state disk, absl::Time now) {
  raft_options options;
  options.self = self;
  options.run = self;
  return raft_core(options, std::move(disk), self, now);
}

struct two_groups {
  absl::Time now = absl::FromUnixSeconds(1000);
  raft_core recovered = CoreOf(kSelf, RecoveredDisk(), now);
  raft_core former = CoreOf(2, DiskWith({}), now);

  static recovered_state RecoveredDisk() {
    recovered_state disk = DiskWith({});
    disk.snapshot = RecoverGroup(PlanRecovery(kSelf, disk).value(), 0).value();
    disk.entries.clear();
    return disk;  // keeps the hard state of the former group
  }
  void Advance(absl::Duration duration) {
    now += duration;
    recovered.Tick(now);
    former.Tick(now);
    Exchange(&recovered, &former, now);
  }
};

BOOST_AUTO_TEST_CASE(FormerMemberIsReplacedAfterContactWithTheNewGroup) {
  two_groups groups;
  groups.Advance(absl::Milliseconds(1));
  BOOST_TEST((groups.recovered.Role() == raft_role::kLeader));
  BOOST_TEST(groups.recovered.HoldsLease(groups.now));
  BOOST_TEST(!groups.former.IsGroupReplaced());
  groups.Advance(2 * kElectionTimeout);
  BOOST_TEST(groups.former.IsGroupReplaced());
  BOOST_TEST((groups.former.NextDeadline() == absl::InfiniteFuture()));
  BOOST_TEST(GroupOf(groups.former.Term()) == 0U);
  BOOST_TEST((groups.recovered.Role() == raft_role::kLeader));
  BOOST_TEST(groups.recovered.Membership().VoterCount() == 1U);
}

BOOST_AUTO_TEST_CASE(MemberWithAnEmptyDiskJoinsTheNewGroup) {
  two_groups groups;
  groups.former = CoreOf(7, {}, groups.now);
  groups.Advance(absl::Milliseconds(1));
  membership_change joining;
  joining.member.set_id(7);
  joining.member.set_role(inner::STANDBY);
  BOOST_REQUIRE(
      groups.recovered.ProposeMembership(joining, groups.now).has_value());
  for (int heartbeat = 0; heartbeat < 10; ++heartbeat) {
    groups.Advance(kHeartbeatInterval);
  }
  BOOST_TEST(!groups.former.IsGroupReplaced());
  BOOST_TEST(groups.former.LastIndex() == groups.recovered.LastIndex());
}

}  // namespace
}  // namespace cardamomroute::control
