#include "cardamomroute/recover_command.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

#include "base/concat.h"
#include "cardamomroute/command_line.h"
#include "cardamomroute/control_group_test_support.h"
#include "control/raft_group.h"

namespace cardamomroute {
namespace {

constexpr char kFolder[] = "data";
constexpr char kAccepted[] = "accepted";
constexpr int kSurvivor = 2;

// Any number below `end`, in small cases too.
int Below(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

nlohmann::json Recover(control::fake_file_system* files,
                       const std::string& confirm = "") {
  command_line line;
  line.json = true;
  line.confirm = confirm;
  std::ostringstream out;
  RunRecoverCommand(line, kFolder, {*files, out, out, 7});
  return nlohmann::json::parse(out.str());
}

std::string ConfirmationOf(control::fake_file_system* files) {
  return Recover(files)["confirm"];
}

inner::control_request Operation(const std::string& command) {
  inner::control_request request;
  request.mutable_operation()->set_command(command);
  return request;
}

// A group and what its operators and one node were told.
class told_group : public control_group {
 public:
  explicit told_group(uint32_t seed) : control_group(3, 4, seed) {
    Run(absl::Seconds(4));
  }

  // The answer of whoever gives a definite one.
  inner::operator_answer Tell(const inner::control_request& request) {
    TakeAnswers();
    for (int vm = 0; vm < Size(); ++vm) {
      Ask(vm, "operator", request);
    }
    Run(absl::Milliseconds(1700));
    inner::operator_answer told;
    for (const heard_answer& heard : TakeAnswers()) {
      const std::string& code = heard.answer.operation().code();
      if (heard.client == "operator" &&
          code != CodeOf(error_kind::kNotLeader) &&
          code != CodeOf(error_kind::kNoQuorum)) {
        told = heard.answer.operation();
      }
    }
    return told;
  }

  std::string Submit(const std::string& id, const text_base& base) {
    inner::control_request request = Operation("apply");
    inner::operator_request* operation = request.mutable_operation();
    operation->set_text(Concat(
        R"({"services":[{"name":")", id, R"(","address":"192.0.2.)",
        static_cast<int>(id.back()), R"(:5683","protocol":"datagram"}]})"));
    operation->set_submission_id(id);
    operation->set_base_version(base.version);
    operation->set_base_digest(base.digest);
    const inner::operator_answer told = Tell(request);
    if (told.code() == kAccepted) {
      newest = std::max(newest, told.version());
    }
    return told.code();
  }

  text_base Shown() {
    const inner::operator_answer shown = Tell(Operation("show"));
    return {shown.version(), shown.digest()};
  }

  void StopAll() {
    for (int vm = 0; vm < Size(); ++vm) {
      Crash(vm);
    }
  }

  size_t Voters() {
    const auto members = nlohmann::json::parse(
        Tell(Operation("members")).status_json(), nullptr, false);
    size_t voters = 0;
    for (const auto& row : members.value("members", nlohmann::json::array())) {
      voters += row["role"] == "voter" ? 1 : 0;
    }
    return voters;
  }

  uint64_t newest = 0;
};

// Recovers through losses of power at any write, until it is done. What the
// folder holds in between is the former group or the new one.
void RecoverThroughCrashes(control::fake_file_system* files) {
  const nlohmann::json before = Recover(files);
  const std::string confirm = before["confirm"];
  for (int attempt = 0; ConfirmationOf(files) == confirm; ++attempt) {
    files->LosePowerAfter(Below(16) + attempt);
    Recover(files, confirm);
    files->Restart(*rc::gen::arbitrary<uint32_t>());
    const nlohmann::json found = Recover(files);
    RC_ASSERT(found["code"] == "recoverable");
    RC_ASSERT(found["digest"] == before["digest"]);
    RC_ASSERT(before["version"] == 0 ||
              (found["confirm"] == confirm) ==
                  (found["version"] == before["version"]));
  }
}

// Any log that one VM is left with, any crash while it recovers, and any of the
// others back with what it had or with nothing.
RC_BOOST_PROP(OneGroupGoesOnFromWhatOneFolderHolds, ()) {
  told_group group(*rc::gen::arbitrary<uint32_t>());
  std::map<std::string, text_base> bases;
  const int cut_at = Below(5);
  for (int number = 0; number < 4; ++number) {
    const std::string id = Concat("text-", number);
    bases[id] = group.Shown();
    if (number == cut_at) {
      group.Isolate(kSurvivor);
    }
    if (group.Submit(id, bases[id]) != kAccepted) {
      bases.erase(id);
    }
    group.Run(absl::Milliseconds(10 * Below(80)));
  }
  const text_base lost = group.Shown();
  group.StopAll();
  group.Heal();
  const nlohmann::json kept = Recover(&group.Files(kSurvivor));
  RecoverThroughCrashes(&group.Files(kSurvivor));
  // At most one is back with its disk: no majority of any former membership.
  const int former = Below(group.Size());
  for (int vm = 0; vm < group.Size(); ++vm) {
    if (vm != former && vm != kSurvivor) {
      group.LoseDisk(vm);
    }
    group.Start(vm);
  }
  group.Run(absl::Seconds(8));
  for (int vm = 0; vm < group.Size(); ++vm) {
    RC_ASSERT(group.IsUp(vm) == (vm != former || vm == kSurvivor));
  }
  const text_base found = group.Shown();
  RC_ASSERT(found.digest == kept["digest"]);
  RC_ASSERT(found.version == 0 || found.version > group.newest);
  RC_ASSERT(found.version == 0 || control::GroupOf(found.version) > 0);
  // Nothing is told that the former group may contradict.
  for (const auto& [id, base] : bases) {
    const std::string code = group.Submit(id, base);
    RC_ASSERT(code == kAccepted || code == CodeOf(error_kind::kOutcomeLost));
  }
  if (lost.version > 0) {
    RC_ASSERT(group.Submit("on what was lost", lost) ==
              CodeOf(error_kind::kOutcomeLost));
  }
  const uint64_t before = group.newest;
  RC_ASSERT(group.Submit("next", group.Shown()) == kAccepted);
  RC_ASSERT(group.newest > before);
  if (!group.IsUp(former)) {
    group.LoseDisk(former);
    group.Start(former);
  }
  group.Run(absl::Seconds(8));
  RC_ASSERT(group.Voters() == 3U);
  for (int vm = 0; vm < group.Size(); ++vm) {
    RC_ASSERT(group.Member(vm).State().Text().version == group.newest);
  }
  RC_TAG(former, kept["digest"] == lost.digest);
}

// A group that ended with text "a" on the survivor's disk.
struct ended_group : told_group {
  ended_group() : told_group(5) {
    BOOST_REQUIRE(Submit("a", {}) == kAccepted);
    Run(absl::Seconds(1));
    StopAll();
  }
  control::fake_file_system* Survivor() { return &Files(kSurvivor); }
};

BOOST_AUTO_TEST_CASE(EveryWriteLeavesTheFormerGroupOrTheNewOne) {
  int former = 0;
  int recovered = 0;
  for (uint64_t changes = 0; recovered < 3; ++changes) {
    ended_group group;
    const std::string confirm = ConfirmationOf(group.Survivor());
    group.Survivor()->LosePowerAfter(changes);
    Recover(group.Survivor(), confirm);
    group.Survivor()->Restart(static_cast<uint32_t>(changes));
    const bool is_former = ConfirmationOf(group.Survivor()) == confirm;
    former += is_former ? 1 : 0;
    recovered += is_former ? 0 : 1;
    group.Start(kSurvivor);
    group.Run(absl::Seconds(3));
    BOOST_TEST((group.Shown().version == 0) == is_former);
  }
  BOOST_TEST(former > 2);
}

BOOST_AUTO_TEST_CASE(RefusesWhatItCannotRecoverAndChangesNothing) {
  ended_group group;
  const nlohmann::json plan = Recover(group.Survivor());
  BOOST_TEST(plan["code"] == "recoverable");
  BOOST_TEST(plan["detail"].get<std::string>().find("control-0") !=
             std::string::npos);
  BOOST_TEST(Recover(group.Survivor(), "1:2")["code"] == "usage");
  BOOST_TEST(ConfirmationOf(group.Survivor()) == plan["confirm"]);
  group.Start(kSurvivor);
  BOOST_TEST(Recover(group.Survivor())["code"] == "folder-locked");
  group.Crash(kSurvivor);
  group.Survivor()->Names()["data/identity"]->content = "x";
  BOOST_TEST(Recover(group.Survivor())["code"] == "data-corrupt");
  control::fake_file_system empty;
  BOOST_TEST(Recover(&empty)["code"] == "no-group");
  BOOST_TEST(empty.Names().empty());
}

BOOST_AUTO_TEST_CASE(AFormerLeaderNeitherServesNorCountsNodesThatAreAhead) {
  told_group group(5);
  inner::control_request request;
  inner::pull_request* pull = request.mutable_pull();
  pull->set_node_name("node");
  pull->set_incarnation(1);
  pull->mutable_announced_balancer()->set_inner("198.51.100.1:9");
  pull->set_have_version(control::FirstInGroup(1));
  for (int vm = 0; vm < group.Size(); ++vm) {
    group.Ask(vm, "node", request);
  }
  for (const heard_answer& heard : group.TakeAnswers()) {
    if (heard.client == "node") {
      BOOST_TEST(!heard.answer.pull().leader().empty());
    }
  }
  group.Run(absl::Seconds(1));
  const auto status =
      nlohmann::json::parse(group.Tell(Operation("status")).status_json());
  BOOST_TEST(status["node_list"].empty());
}

BOOST_AUTO_TEST_CASE(WhatAFormerVersionCameToIsNotKnown) {
  ended_group group;
  Recover(group.Survivor(), ConfirmationOf(group.Survivor()));
  group.Start(kSurvivor);
  group.Run(absl::Seconds(3));
  inner::control_request status = Operation("status");
  status.mutable_operation()->set_argument(std::to_string(group.newest));
  BOOST_TEST(group.Tell(status).code() == CodeOf(error_kind::kOutcomeLost));
  // A submission whose acceptance is known is answered as before.
  BOOST_TEST(group.Submit("a", {}) == kAccepted);
}

}  // namespace
}  // namespace cardamomroute
