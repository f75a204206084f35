#include "control/control_state.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "control/control_state_test_support.h"
#include "view/view_codec.h"

namespace cardamomroute::control {
namespace {

constexpr int kCommands = 30;

RC_BOOST_PROP(ReplayAndRestoreGiveIdenticalSnapshots, ()) {
  command_runner runner;
  control_state follower;
  for (int i = 0; i < kCommands; ++i) {
    const inner::command command = AnyCommand(runner.State());
    const apply_outcome outcome = runner.Run(command);
    if (*rc::gen::inRange(0, 6) == 0) {
      const std::string snapshot = follower.Snapshot();
      follower = control_state();
      RC_ASSERT(follower.Restore(snapshot).has_value());
    }
    const apply_outcome followed =
        follower.Apply(runner.Index(), command.SerializeAsString());
    RC_ASSERT(followed.view_changed == outcome.view_changed);
    RC_ASSERT(follower.Snapshot() == runner.State().Snapshot());
    RC_ASSERT(follower.View() == runner.State().View());
  }
}

RC_BOOST_PROP(DeltasFromAnyVersionGiveTheCurrentView, ()) {
  command_runner runner;
  std::vector<view> versions = {view()};
  for (int i = 0; i < kCommands; ++i) {
    const view before = runner.State().View();
    const apply_outcome outcome = runner.Run(AnyCommand(runner.State()));
    const view& current = runner.State().View();
    if (!outcome.view_changed) {
      RC_ASSERT(current == before);
      continue;
    }
    RC_ASSERT(current.version == runner.Index());
    view stamped = current;
    StampChanges(before, &stamped);
    RC_ASSERT(stamped == current);
    versions.push_back(current);
    for (const view& older : versions) {
      const inner::view_delta delta = runner.State().DeltaFrom(older.version);
      RC_ASSERT(delta.from_version() == older.version);
      const result<view> updated = ApplyDelta(older, delta);
      RC_ASSERT(older == current || updated.has_value());
      const bool is_current = older == current || updated.value() == current;
      RC_ASSERT(is_current);
    }
  }
}

/// A submission and the outcome that it got first.
struct answered_submission {
  inner::submit_text submission;
  submission_outcome outcome;
};

RC_BOOST_PROP(OneTextIsAcceptedPerVersionAndRepeatsGetTheSameOutcome, ()) {
  command_runner runner;
  std::map<std::string, answered_submission> answers;
  for (int i = 0; i < kCommands; ++i) {
    const text_in_force before = runner.State().Text();
    inner::command command = AnyCommand(runner.State());
    if (!answers.empty() && *rc::gen::inRange(0, 4) == 0) {
      const auto repeated = *rc::gen::elementOf(answers);
      *command.mutable_submit() = repeated.second.submission;
    }
    const apply_outcome applied = runner.Run(command);
    const text_in_force& after = runner.State().Text();
    if (!command.has_submit()) {
      RC_ASSERT(after.version == before.version);
      continue;
    }
    const inner::submit_text& submitted = command.submit();
    const submission_outcome& outcome = *applied.submission;
    const auto known = answers.find(submitted.submission_id());
    const bool is_repeat = known != answers.end();
    if (is_repeat || !outcome.Accepted()) {
      RC_ASSERT(after.version == before.version);
      RC_ASSERT(after.digest == before.digest);
    } else {
      RC_ASSERT(submitted.base_version() == before.version);
      RC_ASSERT(submitted.base_digest() == before.digest);
      RC_ASSERT(after.version == runner.Index());
      RC_ASSERT(after.text == submitted.text());
    }
    if (!is_repeat) {
      RC_ASSERT(outcome.version == after.version);
      RC_ASSERT(outcome.digest == after.digest);
      answers[submitted.submission_id()] = {submitted, outcome};
      continue;
    }
    const submission_outcome& first = known->second.outcome;
    const inner::submit_text& original = known->second.submission;
    if (original.text() == submitted.text() &&
        original.base_version() == submitted.base_version() &&
        original.base_digest() == submitted.base_digest()) {
      RC_ASSERT(outcome.Accepted() == first.Accepted());
      RC_ASSERT(outcome.version == first.version);
    } else {
      RC_ASSERT(!outcome.Accepted());
      RC_ASSERT(outcome.refusal->kind == error_kind::kSubmissionReused);
    }
  }
}

RC_BOOST_PROP(AnAddressMovesOnlyAfterItsQuarantine, ()) {
  command_runner runner;
  // By address: the service that had it last, and until when.
  std::map<endpoint, std::pair<std::string, absl::Time>> holders;
  for (int i = 0; i < 2 * kCommands; ++i) {
    const view before = runner.State().View();
    runner.Run(AnyCommand(runner.State()));
    const absl::Time now = runner.State().LatestTime();
    for (const service& item : before.services) {
      holders[item.address] = {item.name, now};
    }
    for (const service& item : runner.State().View().services) {
      const auto previous = holders.find(item.address);
      const bool may_hold = previous == holders.end() ||
                            previous->second.first == item.name ||
                            now >= previous->second.second + kAddressQuarantine;
      RC_ASSERT(may_hold);
    }
  }
}

RC_BOOST_PROP(IdsAreNeverReusedAndIncarnationsNeverDecrease, ()) {
  command_runner runner;
  std::map<service_id, std::string> services;
  std::map<uint64_t, std::string> nodes;
  service_id newest_service = 0;
  for (int i = 0; i < 2 * kCommands; ++i) {
    const control_state before = runner.State();
    const inner::command command = AnyCommand(before);
    runner.Run(command);
    const control_state& after = runner.State();
    std::set<endpoint> agents;
    for (const service& item : after.View().services) {
      RC_ASSERT(services.try_emplace(item.id, item.name).first->second ==
                item.name);
      const bool is_kept = before.View().FindService(item.id) != nullptr;
      const bool is_new = item.id > newest_service;
      const bool is_kept_or_new = is_kept || is_new;
      RC_ASSERT(is_kept_or_new);
    }
    if (!after.View().services.empty()) {
      newest_service =
          std::max(newest_service, after.View().services.back().id);
    }
    for (const target& item : after.View().targets) {
      RC_ASSERT(agents.insert(item.agent).second);
      RC_ASSERT(after.View().FindService(item.service) != nullptr);
      const std::string name = *after.Nodes().NameOf(item.id);
      RC_ASSERT(nodes.try_emplace(item.id, name).first->second == name);
    }
    for (const auto& [name, node] : after.Nodes().Nodes()) {
      const registered_node* previous = before.Nodes().Find(name);
      const bool is_older =
          previous != nullptr && node.incarnation < previous->incarnation &&
          command.registry().lost_size() == 0 &&
          command.registry().lost_zones_size() == 0 && !command.has_submit();
      // A node whose agent address another join of the same batch takes over is
      // removed, and may then join again with a lower incarnation.
      const bool was_replaced = command.registry().joined_size() > 1;
      RC_ASSERT(!(is_older && !was_replaced));
      RC_ASSERT(node.id < after.Nodes().NextId());
    }
  }
}

BOOST_AUTO_TEST_CASE(AServiceThatIsDefinedAgainGetsANewId) {
  control_state state;
  state.Apply(
      1, Submission(state, "1", "index", "192.0.2.1:1").SerializeAsString());
  state.Apply(
      2, Submission(state, "2", "release", "192.0.2.2:1").SerializeAsString());
  state.Apply(
      3, Submission(state, "3", "index", "192.0.2.1:1").SerializeAsString());
  BOOST_REQUIRE(state.View().services.size() == 1);
  BOOST_TEST(state.View().services.front().id == 3U);
  BOOST_TEST(state.Text().version == 3U);
}

BOOST_AUTO_TEST_CASE(OneEntryRemovesAZone) {
  control_state state;
  state.Apply(
      1, Submission(state, "1", "index", "192.0.2.1:1").SerializeAsString());
  inner::command joins;
  for (int i = 0; i < 100; ++i) {
    inner::node_join* join = joins.mutable_registry()->add_joined();
    join->set_node_name(Concat("agent-", i));
    join->set_incarnation(1);
    join->set_service("index");
    join->mutable_target()->set_zone(i % 4 == 0 ? "saga" : "kurume");
    join->mutable_target()->set_agent(Concat("198.51.100.", i, ":9"));
  }
  state.Apply(2, joins.SerializeAsString());
  BOOST_TEST(state.View().targets.size() == 100U);
  inner::command loss;
  inner::zone_loss* lost = loss.mutable_registry()->add_lost_zones();
  lost->set_zone("kurume");
  lost->set_below_id(state.Nodes().NextId());
  const std::string bytes = loss.SerializeAsString();
  BOOST_TEST(bytes.size() < 32U);
  const view before = state.View();
  BOOST_TEST(state.Apply(3, bytes).view_changed);
  BOOST_TEST(state.View().targets.size() == 25U);
  const inner::view_delta loss_delta = state.DeltaFrom(2);
  BOOST_TEST(loss_delta.ByteSizeLong() < 32U);
  BOOST_TEST((ApplyDelta(before, loss_delta).value() == state.View()));
}

BOOST_AUTO_TEST_CASE(TheNumberOfRememberedSubmissionsIsBounded) {
  submission_history memory;
  inner::submit_text submission;
  const uint64_t beyond = kMaxRememberedSubmissions + 10;
  for (uint64_t i = 0; i < beyond; ++i) {
    submission.set_submission_id(Concat("id-", i));
    memory.Remember(submission, {std::nullopt, i, ""});
  }
  BOOST_TEST(memory.Find("id-9") == nullptr);
  BOOST_REQUIRE(memory.Find("id-10") != nullptr);
  BOOST_TEST(memory.Find("id-10")->version == 10U);
}

BOOST_AUTO_TEST_CASE(UnparsableBytesChangeNothing) {
  control_state state;
  const std::string empty = state.Snapshot();
  BOOST_TEST(!state.Apply(1, "\xff\xff\xff").view_changed);
  BOOST_TEST(state.Snapshot() == empty);
  BOOST_TEST(!state.Restore("\xff\xff\xff"));
}

}  // namespace
}  // namespace cardamomroute::control
