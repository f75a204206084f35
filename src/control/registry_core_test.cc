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

inner::pull_request Pull(int node, const std::string& zone,
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

// A leader over a log of one, and nodes that it hears or not.
struct registry_world {
  registry_core core;
  control_state state;
  absl::Time now = kStart;
  uint64_t index = 1;
  std::vector<inner::registry_batch> batches;

  registry_world() {
    const inner::command text = Submission(state, "1", "index", "192.0.2.1:1");
    state.Apply(index, text.SerializeAsString());
    core.StartLeading(state, now);
  }

  // One batch goes into the log and is applied at once.
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

  void Hear(const inner::pull_request& pull) { core.OnPull(pull, state, now); }

  // Hears nodes [first, end), spread over the zones, for so long.
  void HearAll(int first, int end, absl::Duration length) {
    const absl::Time until = now + length;
    while (now < until) {
      for (int node = first; node < end; ++node) {
        Hear(Pull(node, Concat("zone-", node % 4), 1));
      }
      Step();
    }
  }

  void Wait(absl::Duration length) { HearAll(0, 0, length); }
};

// What the nodes did: when each was last heard, and as which incarnation.
struct node_past {
  absl::Time last_seen = absl::InfinitePast();
  uint64_t incarnation = 0;
  bool leaving = false;
};

RC_BOOST_PROP(WhoIsHeardStaysAndWhoIsSilentGoes, ()) {
  registry_world world;
  std::map<int, node_past> pasts;
  for (int step = 0; step < 200; ++step) {
    const int node = *rc::gen::inRange(0, 8);
    node_past& past = pasts[node];
    const bool restarts = *rc::gen::inRange(0, 20) == 0;
    // The last node is heard seldom.
    if (node != 7 || *rc::gen::inRange(0, 4) == 0) {
      past.incarnation += past.incarnation == 0 || restarts ? 1 : 0;
      world.Hear(Pull(node, Concat("zone-", node % 2), past.incarnation));
      past.last_seen = world.now;
    }
    if (past.incarnation > 1 && *rc::gen::inRange(0, 10) == 0) {
      // A message of the process before comes late.
      world.Hear(Pull(node, "zone-9", past.incarnation - 1));
    }
    if (*rc::gen::inRange(0, 60) == 0) {
      world.core.StartLeading(world.state, world.now);
    }
    const node_table before = world.state.Nodes();
    world.Step();
    for (const auto& [number, known] : pasts) {
      const std::string name = Concat("agent-", number);
      const registered_node* found = world.state.Nodes().Find(name);
      const bool gone_too_early = found == nullptr &&
                                  before.Find(name) != nullptr &&
                                  world.now < known.last_seen + kRegistryLease;
      RC_ASSERT(!gone_too_early);
      const bool is_later =
          found == nullptr || found->incarnation <= known.incarnation;
      RC_ASSERT(is_later);
    }
  }
  // All nodes but the last keep pulling.
  for (int step = 0; step < 100; ++step) {
    for (int node = 0; node < 7; ++node) {
      pasts[node].incarnation += pasts[node].incarnation == 0 ? 1 : 0;
      world.Hear(
          Pull(node, Concat("zone-", node % 2), pasts[node].incarnation));
    }
    world.Step();
  }
  RC_ASSERT(world.state.View().targets.size() == 7U);
  for (int node = 0; node < 7; ++node) {
    const auto* found = world.state.Nodes().Find(Concat("agent-", node));
    RC_ASSERT(found->incarnation == pasts[node].incarnation);
  }
}

BOOST_AUTO_TEST_CASE(ManyJoinsAreFewEntries) {
  registry_world world;
  world.HearAll(0, 200, absl::Seconds(2));
  BOOST_TEST(world.state.View().targets.size() == 200U);
  BOOST_TEST(world.batches.size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheLossOfAZoneIsOneEntry) {
  registry_world world;
  world.HearAll(0, 200, absl::Seconds(1));
  world.batches.clear();
  // Nodes 0, 4, 8... fall silent one after the other.
  const absl::Time start = world.now;
  while (world.now < start + absl::Seconds(8)) {
    for (int node = 0; node < 200; ++node) {
      const absl::Time silent_from = start + absl::Milliseconds(5 * node);
      if (node % 4 != 0 || world.now < silent_from) {
        world.Hear(Pull(node, Concat("zone-", node % 4), 1));
      }
    }
    world.Step();
  }
  BOOST_TEST(world.state.View().targets.size() == 150U);
  BOOST_REQUIRE(world.batches.size() == 1U);
  BOOST_TEST(world.batches.front().lost_zones_size() == 1);
  BOOST_TEST(world.batches.front().ByteSizeLong() < 32U);
}

BOOST_AUTO_TEST_CASE(ANewLeaderGivesEveryNodeAWholeLease) {
  registry_world world;
  world.HearAll(0, 8, absl::Seconds(1));
  world.Wait(kRegistryLease - absl::Seconds(1));
  world.core.StartLeading(world.state, world.now);
  world.Wait(kRegistryLease - kStep);
  BOOST_TEST(world.state.View().targets.size() == 8U);
}

BOOST_AUTO_TEST_CASE(SilenceOfMostNodesIsWaitedOut) {
  registry_world world;
  world.HearAll(0, 8, absl::Seconds(1));
  world.HearAll(0, 3, kRegistryLease + kMassLossHold - absl::Seconds(1));
  BOOST_TEST(world.state.View().targets.size() == 8U);
  world.HearAll(0, 3, absl::Seconds(2));
  BOOST_TEST(world.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ANodeThatLeavesDrainsAndStaysInTheViewUntilItIsSilent) {
  registry_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  inner::pull_request leave = Pull(3, "zone-3", 1);
  leave.set_leaving(true);
  world.Hear(leave);
  world.Step();
  BOOST_REQUIRE(world.state.View().targets.size() == 4U);
  const registered_node* node = world.state.Nodes().Find("agent-3");
  BOOST_TEST((world.state.View().FindTarget(node->id)->state ==
              target_state::kDraining));
  world.HearAll(0, 3, absl::Seconds(5));
  BOOST_TEST(world.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(OnlyNodesOfTheViewOrWithALeaseAreListed) {
  registry_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  while (world.state.View().targets.size() == 4U) {
    world.HearAll(0, 3, kStep);
  }
  const auto listed = world.core.Nodes(world.state, world.now);
  BOOST_REQUIRE(listed.size() == 3U);
  BOOST_TEST(listed.back().name == "agent-2");
  // A silent node is listed for as long as it is in the view.
  world.Wait(kRegistryLease + kStep);
  BOOST_TEST(world.core.Nodes(world.state, world.now).size() ==
             world.state.View().targets.size());
}

BOOST_AUTO_TEST_CASE(AnOlderProcessDoesNotRenewTheLeaseOfItsSuccessor) {
  registry_world world;
  world.Hear(Pull(0, "zone-0", 2));
  world.HearAll(1, 4, absl::Seconds(1));
  const uint64_t successor = world.state.Nodes().Find("agent-0")->id;
  for (int step = 0; step < 50; ++step) {
    world.Hear(Pull(0, "zone-0", 1));
    world.HearAll(1, 4, kStep);
  }
  BOOST_TEST(world.state.Nodes().NameOf(successor) == nullptr);
}

BOOST_AUTO_TEST_CASE(AnAddressInUseIsNotTakenFromALiveNode) {
  registry_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  inner::pull_request intruder = Pull(0, "zone-0", 1);
  intruder.set_node_name("intruder");
  for (int step = 0; step < 20; ++step) {
    world.Hear(intruder);
    world.HearAll(0, 4, kStep);
  }
  BOOST_TEST(world.state.Nodes().Find("intruder") == nullptr);
  for (int step = 0; step < 60; ++step) {
    world.Hear(intruder);
    world.HearAll(1, 4, kStep);
  }
  BOOST_TEST(world.state.Nodes().Find("intruder") != nullptr);
  BOOST_TEST(world.state.Nodes().Find("agent-0") == nullptr);
}

// A relay, node 0, with the nodes [1, end) behind it.
struct relay_world : registry_world {
  inner::pull_request Report(int end) const {
    inner::pull_request pull = Pull(0, "zone-0", 1);
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

  // The members are listed once; then their digest is enough.
  void Relay(const inner::pull_request& report, absl::Duration length) {
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

BOOST_AUTO_TEST_CASE(ARelayRenewsItsChildrenAndReportsTheirVersions) {
  relay_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  inner::pull_request report = world.Report(4);
  report.set_have_version(5);
  WriteCounts({{4, 1}, {5, 3}}, report.mutable_subtree());
  world.Relay(report, absl::Seconds(10));
  BOOST_TEST(world.state.View().targets.size() == 4U);
  // One of the subtree is behind: only the relay itself is known not to be.
  in_force_count count = world.core.CountInForce(5, world.now);
  BOOST_TEST(count.nodes == 4U);
  BOOST_TEST(count.in_force == 1U);
  report.mutable_subtree()->clear_versions();
  WriteCounts({{5, 4}}, report.mutable_subtree());
  world.Relay(report, absl::Seconds(1));
  count = world.core.CountInForce(5, world.now);
  BOOST_TEST(count.nodes == 4U);
  BOOST_TEST(count.in_force == 4U);
}

BOOST_AUTO_TEST_CASE(AMemberThatARelayNoLongerReportsGoesAfterItsLease) {
  BOOST_TEST((kDoubtLease + kMemberSilence == kRegistryLease));
  relay_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  world.Relay(world.Report(4), absl::Seconds(10));
  const inner::pull_request without = world.Report(3);
  world.Relay(without, kDoubtLease - kStep);
  BOOST_TEST(world.state.View().targets.size() == 4U);
  world.Relay(without, absl::Seconds(1));
  BOOST_TEST(world.state.View().targets.size() == 3U);
}

BOOST_AUTO_TEST_CASE(MembersOfALostRelayThatComeBackThroughAnotherStay) {
  relay_world world;
  world.HearAll(0, 8, absl::Seconds(1));
  world.Relay(world.Report(8), absl::Seconds(10));
  // Node 0 dies; the others pull from control after some time.
  world.Wait(kRelayedLease - absl::Seconds(1));
  world.HearAll(1, 8, absl::Seconds(5));
  BOOST_TEST(world.state.View().targets.size() == 7U);
  BOOST_TEST(world.state.Nodes().Find("agent-0") == nullptr);
}

BOOST_AUTO_TEST_CASE(ANewLeaderAsksForTheMembers) {
  relay_world world;
  world.HearAll(0, 4, absl::Seconds(1));
  inner::pull_request report = world.Report(4);
  world.Relay(report, absl::Seconds(1));
  world.core.StartLeading(world.state, world.now);
  report.mutable_subtree()->clear_member_steps();
  BOOST_TEST(!world.core.OnPull(report, world.state, world.now));
  world.Relay(world.Report(4), absl::Seconds(10));
  BOOST_TEST(world.state.View().targets.size() == 4U);
}

}  // namespace
}  // namespace cardamomroute::control
