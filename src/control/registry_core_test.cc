#include "control/registry_core.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/concat.h"
#include "control/control_state_test_support.h"
#include "view/member_book.h"
#include "view/subtree_codec.h"

namespace cardamomroute::control {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
const absl::Time kStart = absl::FromUnixSeconds(1000);

inner::pull_request MakePull(int node, const std::string& zone,
                             uint64_t incarnation) {
  inner::pull_request pull;
  pull.set_node_name(Concat("agent-", node));
  pull.set_incarnation(incarnation);
  pull.set_announced_service("index");
  pull.mutable_announced_target()->set_zone(zone);
  pull.mutable_announced_target()->set_agent(
      Concat("198.51.100.", node, ":9000"));
  return pull;
}

/// A leader with a log of one member, which commits each batch at once.
struct registry_fixture {
  registry_core core;
  control_state state;
  absl::Time now = kStart;
  uint64_t index = 1;
  std::vector<inner::registry_batch> batches;

  registry_fixture() {
    const inner::command text = Submission(state, "1", "index", "192.0.2.1:1");
    state.Apply(index, text.SerializeAsString());
    core.StartLeading(state, now);
  }

  // Advances the clock by kStep and applies the batch that is due, if any.
  void Step() {
    now += kStep;
    const auto batch = core.BuildBatch(state, now);
    if (!batch) {
      return;
    }
    inner::command command;
    *command.mutable_registry() = *batch;
    state.Apply(++index, command.SerializeAsString());
    core.OnBatchDone();
    batches.push_back(*batch);
  }

  void ReceivePull(const inner::pull_request& pull) {
    core.OnPull(pull, state, now);
  }

  // Lets nodes [first, end), spread over four zones, pull at each step for
  // `length`.
  void PullAll(int first, int end, absl::Duration length) {
    const absl::Time until = now + length;
    while (now < until) {
      for (int node = first; node < end; ++node) {
        ReceivePull(MakePull(node, Concat("zone-", node % 4), 1));
      }
      Step();
    }
  }

  void AdvanceWithoutPulls(absl::Duration length) { PullAll(0, 0, length); }
};

/// What a node has sent so far.
struct node_history {
  absl::Time last_seen = absl::InfinitePast();
  uint64_t incarnation = 0;
  bool leaving = false;
};

RC_BOOST_PROP(LiveNodesStayAndSilentNodesAreRemoved, ()) {
  registry_fixture fixture;
  std::map<int, node_history> histories;
  for (int step = 0; step < 200; ++step) {
    const int node = *rc::gen::inRange(0, 8);
    node_history& history = histories[node];
    const bool restarts = *rc::gen::inRange(0, 20) == 0;
    // The last node pulls rarely.
    if (node != 7 || *rc::gen::inRange(0, 4) == 0) {
      history.incarnation += history.incarnation == 0 || restarts ? 1 : 0;
      fixture.ReceivePull(
          MakePull(node, Concat("zone-", node % 2), history.incarnation));
      history.last_seen = fixture.now;
    }
    if (history.incarnation > 1 && *rc::gen::inRange(0, 10) == 0) {
      // A delayed pull of the previous process.
      fixture.ReceivePull(MakePull(node, "zone-9", history.incarnation - 1));
    }
    if (*rc::gen::inRange(0, 60) == 0) {
      fixture.core.StartLeading(fixture.state, fixture.now);
    }
    const node_table before = fixture.state.Nodes();
    fixture.Step();
    for (const auto& [number, known] : histories) {
      const std::string name = Concat("agent-", number);
      const registered_node* found = fixture.state.Nodes().Find(name);
      const bool is_removed_too_early =
          found == nullptr && before.Find(name) != nullptr &&
          fixture.now < known.last_seen + kRegistryLease;
      RC_ASSERT(!is_removed_too_early);
      const bool is_not_newer =
          found == nullptr || found->incarnation <= known.incarnation;
      RC_ASSERT(is_not_newer);
    }
  }
  // All nodes but the last keep pulling.
  for (int step = 0; step < 100; ++step) {
    for (int node = 0; node < 7; ++node) {
      histories[node].incarnation += histories[node].incarnation == 0 ? 1 : 0;
      fixture.ReceivePull(MakePull(node, Concat("zone-", node % 2),
                                   histories[node].incarnation));
    }
    fixture.Step();
  }
  RC_ASSERT(fixture.state.View().targets.size() == 7U);
  for (int node = 0; node < 7; ++node) {
    const auto* found = fixture.state.Nodes().Find(Concat("agent-", node));
    RC_ASSERT(found->incarnation == histories[node].incarnation);
  }
}

BOOST_AUTO_TEST_CASE(ManyJoinsShareOneEntry) {
  registry_fixture fixture;
  fixture.PullAll(0, 200, absl::Seconds(2));
  BOOST_TEST(fixture.state.View().targets.size() == 200U);
  BOOST_TEST(fixture.batches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheLossOfAZoneIsOneEntry) {
  registry_fixture fixture;
  fixture.PullAll(0, 200, absl::Seconds(1));
  fixture.batches.clear();
  // Nodes 0, 4, 8... fall silent one after another.
  const absl::Time start = fixture.now;
  while (fixture.now < start + absl::Seconds(8)) {
    for (int node = 0; node < 200; ++node) {
      const absl::Time silent_from = start + absl::Milliseconds(5 * node);
      if (node % 4 != 0 || fixture.now < silent_from) {
        fixture.ReceivePull(MakePull(node, Concat("zone-", node % 4), 1));
      }
    }
    fixture.Step();
  }
  BOOST_TEST(fixture.state.View().targets.size() == 150U);
  BOOST_REQUIRE(fixture.batches.size() == 1U);
  BOOST_TEST(fixture.batches.front().lost_zones_size() == 1);
  BOOST_TEST(fixture.batches.front().ByteSizeLong() < 32U);
}

BOOST_AUTO_TEST_CASE(ANewLeaderGivesEveryNodeAFullLease) {
  registry_fixture fixture;
  fixture.PullAll(0, 8, absl::Seconds(1));
  fixture.AdvanceWithoutPulls(kRegistryLease - absl::Seconds(1));
  fixture.core.StartLeading(fixture.state, fixture.now);
  fixture.AdvanceWithoutPulls(kRegistryLease - kStep);
  BOOST_TEST(fixture.state.View().targets.size() == 8U);
}

BOOST_AUTO_TEST_CASE(LossOfMostNodesIsDelayed) {
  registry_fixture fixture;
  fixture.PullAll(0, 8, absl::Seconds(1));
  fixture.PullAll(0, 3, kRegistryLease + kMassLossDelay - absl::Seconds(1));
  BOOST_TEST(fixture.state.View().targets.size() == 8U);
  fixture.PullAll(0, 3, absl::Seconds(2));
  BOOST_TEST(fixture.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ALeavingTargetDrainsUntilItIsSilent) {
  registry_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  inner::pull_request departure = MakePull(3, "zone-3", 1);
  departure.set_leaving(true);
  fixture.ReceivePull(departure);
  fixture.Step();
  BOOST_REQUIRE(fixture.state.View().targets.size() == 4U);
  const registered_node* node = fixture.state.Nodes().Find("agent-3");
  BOOST_TEST((fixture.state.View().FindTarget(node->id)->state ==
              target_state::kDraining));
  fixture.PullAll(0, 3, absl::Seconds(5));
  BOOST_TEST(fixture.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(OnlyNodesInTheViewOrWithALeaseAreListed) {
  registry_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  while (fixture.state.View().targets.size() == 4U) {
    fixture.PullAll(0, 3, kStep);
  }
  const auto listed = fixture.core.Nodes(fixture.state, fixture.now);
  BOOST_REQUIRE(listed.size() == 3U);
  BOOST_TEST(listed.back().name == "agent-2");
  // A silent node is listed for as long as it is in the view.
  fixture.AdvanceWithoutPulls(kRegistryLease + kStep);
  BOOST_TEST(fixture.core.Nodes(fixture.state, fixture.now).size() ==
             fixture.state.View().targets.size());
}

BOOST_AUTO_TEST_CASE(AnOlderProcessDoesNotRenewTheLeaseOfItsSuccessor) {
  registry_fixture fixture;
  fixture.ReceivePull(MakePull(0, "zone-0", 2));
  fixture.PullAll(1, 4, absl::Seconds(1));
  const uint64_t successor = fixture.state.Nodes().Find("agent-0")->id;
  for (int step = 0; step < 50; ++step) {
    fixture.ReceivePull(MakePull(0, "zone-0", 1));
    fixture.PullAll(1, 4, kStep);
  }
  BOOST_TEST(fixture.state.Nodes().NameOf(successor) == nullptr);
}

BOOST_AUTO_TEST_CASE(AnAddressInUseIsNotReassignedFromALiveNode) {
  registry_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  inner::pull_request newcomer = MakePull(0, "zone-0", 1);
  newcomer.set_node_name("newcomer");
  for (int step = 0; step < 20; ++step) {
    fixture.ReceivePull(newcomer);
    fixture.PullAll(0, 4, kStep);
  }
  BOOST_TEST(fixture.state.Nodes().Find("newcomer") == nullptr);
  for (int step = 0; step < 60; ++step) {
    fixture.ReceivePull(newcomer);
    fixture.PullAll(1, 4, kStep);
  }
  BOOST_TEST(fixture.state.Nodes().Find("newcomer") != nullptr);
  BOOST_TEST(fixture.state.Nodes().Find("agent-0") == nullptr);
}

/// A relay, node 0, with the nodes [1, end) in its subtree.
struct relay_fixture : registry_fixture {
  inner::pull_request MakeReport(int end) const {
    inner::pull_request pull = MakePull(0, "zone-0", 1);
    std::vector<uint64_t> ids;
    ids.reserve(static_cast<size_t>(end));
    for (int node = 0; node < end; ++node) {
      ids.push_back(state.Nodes().Find(Concat("agent-", node))->id);
    }
    std::sort(ids.begin(), ids.end());
    pull.mutable_subtree()->set_digest(DigestOf(ids));
    WriteMembers(ids, pull.mutable_subtree());
    return pull;
  }

  // Pulls as the relay for `length`. The first pull lists the members; the
  // later ones send only the digest.
  void PullThroughRelay(const inner::pull_request& report,
                        absl::Duration length) {
    BOOST_TEST(core.OnPull(report, state, now));
    inner::pull_request digest = report;
    digest.mutable_subtree()->clear_member_steps();
    const absl::Time until = now + length;
    while (now < until) {
      BOOST_TEST(core.OnPull(digest, state, now));
      Step();
    }
  }
};

BOOST_AUTO_TEST_CASE(ARelayRenewsItsMembersAndReportsTheirVersions) {
  relay_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  inner::pull_request report = fixture.MakeReport(4);
  report.set_have_version(5);
  WriteCounts({{4, 1}, {5, 3}}, report.mutable_subtree());
  fixture.PullThroughRelay(report, absl::Seconds(10));
  BOOST_TEST(fixture.state.View().targets.size() == 4U);
  // One member has version 4, and the report does not say which one: only the
  // relay itself counts as having version 5.
  in_force_count count = fixture.core.CountInForce(5, fixture.now);
  BOOST_TEST(count.nodes == 4U);
  BOOST_TEST(count.in_force == 1U);
  report.mutable_subtree()->clear_versions();
  WriteCounts({{5, 4}}, report.mutable_subtree());
  fixture.PullThroughRelay(report, absl::Seconds(1));
  count = fixture.core.CountInForce(5, fixture.now);
  BOOST_TEST(count.nodes == 4U);
  BOOST_TEST(count.in_force == 4U);
}

BOOST_AUTO_TEST_CASE(AMemberMissingFromTheReportIsRemovedAfterItsLease) {
  BOOST_TEST((kMissingMemberLease + kMemberSilence == kRegistryLease));
  relay_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  fixture.PullThroughRelay(fixture.MakeReport(4), absl::Seconds(10));
  const inner::pull_request without = fixture.MakeReport(3);
  fixture.PullThroughRelay(without, kMissingMemberLease - kStep);
  BOOST_TEST(fixture.state.View().targets.size() == 4U);
  fixture.PullThroughRelay(without, absl::Seconds(1));
  BOOST_TEST(fixture.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(MembersOfALostRelayStayIfTheyPullElsewhere) {
  relay_fixture fixture;
  fixture.PullAll(0, 8, absl::Seconds(1));
  fixture.PullThroughRelay(fixture.MakeReport(8), absl::Seconds(10));
  // Node 0 stops; the others pull from control directly after some time.
  fixture.AdvanceWithoutPulls(kRelayedLease - absl::Seconds(1));
  fixture.PullAll(1, 8, absl::Seconds(5));
  BOOST_TEST(fixture.state.View().targets.size() == 7U);
  BOOST_TEST(fixture.state.Nodes().Find("agent-0") == nullptr);
}

BOOST_AUTO_TEST_CASE(ANewLeaderRequestsTheMemberList) {
  relay_fixture fixture;
  fixture.PullAll(0, 4, absl::Seconds(1));
  inner::pull_request report = fixture.MakeReport(4);
  fixture.PullThroughRelay(report, absl::Seconds(1));
  fixture.core.StartLeading(fixture.state, fixture.now);
  report.mutable_subtree()->clear_member_steps();
  BOOST_TEST(!fixture.core.OnPull(report, fixture.state, fixture.now));
  fixture.PullThroughRelay(fixture.MakeReport(4), absl::Seconds(10));
  BOOST_TEST(fixture.state.View().targets.size() == 4U);
}

}  // namespace
}  // namespace cardamomroute::control
