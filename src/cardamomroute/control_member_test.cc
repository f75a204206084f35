#include "cardamomroute/control_member.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "base/concat.h"
#include "cardamomroute/control_group_test_support.h"

namespace cardamomroute {
namespace {

constexpr char kAccepted[] = "accepted";

int Below(int end) { return *rc::gen::inRange(0, end); }

// A text whose services keep their addresses, so that none is refused.
std::string TextOf(uint32_t services) {
  std::string list;
  for (uint32_t number = 0; number < 8; ++number) {
    if ((services >> number) % 2 == 1) {
      list += Concat(list.empty() ? "" : ",", R"({"name":"service-)", number,
                     R"(","address":"192.0.2.)", number + 1,
                     R"(:5683","protocol":"datagram"})");
    }
  }
  return Concat(R"({"services":[)", list, "]}");
}

inner::control_request Submission(const std::string& id, uint32_t services,
                                  uint64_t version, const std::string& digest) {
  inner::control_request request;
  inner::operator_request* operation = request.mutable_operation();
  operation->set_command("apply");
  operation->set_text(TextOf(services));
  operation->set_submission_id(id);
  operation->set_base_version(version);
  operation->set_base_digest(digest);
  return request;
}

// Operators that race, resend and lose answers; each holds what it was told.
class operators {
 public:
  explicit operators(control_group* group) : group_(group) {}

  void Act() {
    const std::string id =
        !sent_.empty() && Below(3) == 0
            ? Concat("id-", Below(static_cast<int>(sent_.size())))
            : Concat("id-", sent_.size());
    auto known = sent_.find(id);
    if (known == sent_.end()) {
      known = sent_
                  .emplace(id, Submission(id, Below(255) + 1, base_.version(),
                                          base_.digest()))
                  .first;
    }
    const int chosen = Below(group_->Size());
    const bool asks_all = Below(2) == 0;
    for (int vm = 0; vm < group_->Size(); ++vm) {
      if (asks_all || vm == chosen) {
        group_->Ask(vm, id, known->second);
      }
    }
  }

  // Sends a text that was not sent before to all VMs.
  void SubmitAnew() {
    const std::string id = Concat("id-", sent_.size());
    const inner::control_request& request =
        sent_.emplace(id, Submission(id, 1, base_.version(), base_.digest()))
            .first->second;
    for (int vm = 0; vm < group_->Size(); ++vm) {
      group_->Ask(vm, id, request);
    }
  }

  // A node asks some VM for the view.
  void Pull() {
    inner::control_request request;
    inner::pull_request* pull = request.mutable_pull();
    pull->set_node_name("node");
    pull->set_incarnation(1);
    pull->set_have_version(view_version_);
    pull->mutable_announced_balancer()->set_inner("198.51.100.1:9");
    group_->Ask(Below(group_->Size()), "node", request);
  }

  // What every answer must keep to, whatever has failed.
  void Check() {
    for (const heard_answer& heard : group_->TakeAnswers()) {
      const inner::pull_answer& pulled = heard.answer.pull();
      if (heard.answer.has_pull() && pulled.leader().empty()) {
        RC_ASSERT(pulled.present_version() >= view_version_);
        view_version_ = pulled.present_version();
      }
      if (!heard.answer.has_operation() || heard.client == "peer") {
        continue;
      }
      const inner::operator_answer& answer = heard.answer.operation();
      if (answer.code() == kAccepted) {
        const auto version = versions_.emplace(answer.version(), heard.client);
        RC_ASSERT(version.first->second == heard.client);
        const auto told = accepted_.emplace(heard.client, answer);
        RC_ASSERT(told.first->second.version() == answer.version());
        RC_ASSERT(told.first->second.digest() == answer.digest());
      } else if (answer.code() == CodeOf(error_kind::kVersionConflict)) {
        refused_.insert(heard.client);
      }
      const bool both =
          accepted_.count(heard.client) > 0 && refused_.count(heard.client) > 0;
      RC_ASSERT(!both);
      if (answer.version() > base_.version()) {
        base_ = answer;
      }
    }
  }

  // After all faults: whoever was told "accepted" is told so again.
  void CheckNothingIsLost() {
    for (const auto& [id, told] : accepted_) {
      for (int vm = 0; vm < group_->Size(); ++vm) {
        group_->Ask(vm, id, sent_.at(id));
      }
    }
    group_->Run(absl::Seconds(1));
    std::map<std::string, int> again;
    for (const heard_answer& heard : group_->TakeAnswers()) {
      if (heard.answer.operation().code() == kAccepted) {
        const auto& told = accepted_.at(heard.client);
        RC_ASSERT(heard.answer.operation().version() == told.version());
        ++again[heard.client];
      }
    }
    RC_ASSERT(again.size() == accepted_.size());
  }

  size_t AcceptedCount() const { return accepted_.size(); }
  uint64_t LastAccepted() const {
    return versions_.empty() ? 0 : versions_.rbegin()->first;
  }

 private:
  control_group* group_;
  std::map<std::string, inner::control_request> sent_;
  std::map<std::string, inner::operator_answer> accepted_;
  std::map<uint64_t, std::string> versions_;
  std::set<std::string> refused_;
  inner::operator_answer base_;
  uint64_t view_version_ = 0;
};

void Disturb(control_group* group, bool* disk_was_lost) {
  const int vm = Below(group->Size());
  switch (Below(9)) {
    case 0:
      group->Crash(vm);
      break;
    case 1:
      if (group->IsUp(vm)) {
        group->Files(vm).LosePowerAfter(Below(12));
      }
      break;
    case 2:
      group->Cut(vm, Below(group->Size()));
      break;
    case 3:
      group->Isolate(vm);
      break;
    case 4:
      group->SetLoss(Below(20));
      break;
    case 5:
      if (!*disk_was_lost && group->IsUp(vm)) {
        *disk_was_lost = true;
        group->LoseDisk(vm);
        group->Start(vm);
      }
      break;
    default:
      group->Heal();
      for (int other = 0; other < group->Size(); ++other) {
        if (!group->IsUp(other)) {
          group->Start(other);
        }
      }
  }
}

RC_BOOST_PROP(WhatAnOperatorWasToldIsAcceptedStaysSo, ()) {
  control_group group(3, 4, *rc::gen::arbitrary<uint32_t>());
  operators people(&group);
  group.Run(absl::Seconds(4));
  group.SetCheckTime(absl::Milliseconds(*rc::gen::element(0, 50, 1000)));
  bool disk_was_lost = false;
  for (int round = 0; round < 40; ++round) {
    people.Act();
    people.Act();
    people.Pull();
    group.Run(absl::Milliseconds(10 * Below(60)));
    people.Check();
    if (Below(3) == 0) {
      Disturb(&group, &disk_was_lost);
    }
  }
  group.Heal();
  group.SetLoss(0);
  group.SetCheckTime(absl::ZeroDuration());
  for (int vm = 0; vm < group.Size(); ++vm) {
    group.Crash(vm);
    group.Start(vm);
  }
  group.Run(absl::Seconds(8));
  people.Check();
  people.CheckNothingIsLost();
  people.Act();
  group.Run(absl::Seconds(1));
  uint64_t newest = 0;
  for (int vm = 0; vm < group.Size(); ++vm) {
    newest = std::max(newest, group.Member(vm).State().Text().version);
  }
  RC_ASSERT(newest >= people.LastAccepted());
  RC_TAG(people.AcceptedCount() / 5 * 5);
}

struct calm_group : control_group {
  explicit calm_group(int vms = 4) : control_group(3, vms, 7) {
    Run(absl::Seconds(4));
  }

  // The answer of one VM to one request, or an empty code.
  std::string Code(int vm, const inner::control_request& request) {
    TakeAnswers();
    Ask(vm, "operator", request);
    Run(absl::Seconds(2));
    for (const heard_answer& heard : TakeAnswers()) {
      if (heard.client == "operator") {
        return heard.answer.operation().code();
      }
    }
    return "";
  }

  int Leader() {
    inner::control_request show;
    show.mutable_operation()->set_command("show");
    for (int vm = 0; vm < Size(); ++vm) {
      if (IsUp(vm) && Code(vm, show) == "ok") {
        return vm;
      }
    }
    return -1;
  }
};

BOOST_AUTO_TEST_CASE(AnIsolatedLeaderNeverAccepts) {
  calm_group group;
  const int leader = group.Leader();
  BOOST_REQUIRE(leader >= 0);
  group.Isolate(leader);
  // It may not know yet; then it cannot tell.
  const std::string first = group.Code(leader, Submission("1", 1, 0, ""));
  BOOST_TEST(first == CodeOf(error_kind::kOutcomeUnknown));
  const std::string second = group.Code(leader, Submission("2", 1, 0, ""));
  BOOST_TEST(second == CodeOf(error_kind::kNoQuorum));
  int accepted = 0;
  for (int vm = 0; vm < 3; ++vm) {
    accepted +=
        vm != leader && group.Code(vm, Submission("1", 1, 0, "")) == kAccepted
            ? 1
            : 0;
  }
  BOOST_TEST(accepted >= 1);
  group.Heal();
  group.Run(absl::Seconds(3));
  BOOST_TEST(group.Code(leader, Submission("1", 1, 0, "")) == kAccepted);
}

BOOST_AUTO_TEST_CASE(ASecondLossRightAfterTheRepairIsSurvived) {
  calm_group group;
  const int first = group.Leader();
  BOOST_REQUIRE(group.Code(first, Submission("1", 1, 0, "")) == kAccepted);
  group.Crash(first);
  group.Run(absl::Seconds(6));
  const int second = group.Leader();
  BOOST_REQUIRE(second >= 0);
  group.Crash(second);
  group.Run(absl::Seconds(3));
  const int third = group.Leader();
  BOOST_REQUIRE(third >= 0);
  BOOST_TEST(group.Code(third, Submission("1", 1, 0, "")) == kAccepted);
}

/// Guards against a newcomer that is never added because none of its seeds
/// leads: one follows, one is away, and one is a newcomer itself.
BOOST_AUTO_TEST_CASE(ANewcomerJoinsThoughNoneOfItsSeedsLeads) {
  calm_group group(5);
  const int leader = group.Leader();
  const int follower = (leader + 1) % 3;
  for (const int newcomer : {3, 4}) {
    group.LoseDisk(newcomer);
  }
  group.SetSeeds(3, {follower});
  group.SetSeeds(4, {3});
  group.Start(3);
  group.Start(4);
  group.Run(absl::Seconds(4));
  BOOST_TEST(!group.Member(3).Membership().Members().empty());
  BOOST_TEST(!group.Member(4).Membership().Members().empty());
}

/// Guards against a member that stays out for good after it was removed from a
/// full group while it was away.
BOOST_AUTO_TEST_CASE(AMemberThatWasRemovedWhileAwayJoinsAgain) {
  calm_group group(8);
  group.Run(absl::Seconds(2));
  const int leader = group.Leader();
  const auto has = [&](int vm) {
    const auto& members = group.Member(leader).Membership().Members();
    return std::any_of(members.begin(), members.end(), [&](const auto& member) {
      return member.name() == Concat("control-", vm);
    });
  };
  int left_out = 3;
  while (has(left_out)) {
    ++left_out;
  }
  const int away = left_out == 3 ? 4 : 3;
  group.Crash(away);
  group.Run(absl::Seconds(5));
  BOOST_REQUIRE(has(left_out));
  BOOST_REQUIRE(!has(away));
  group.Crash(left_out);
  group.Start(away);
  group.Run(absl::Seconds(5));
  BOOST_TEST(has(away));
}

BOOST_AUTO_TEST_CASE(AFullDiskIsWaitedOut) {
  calm_group group;
  for (int vm = 0; vm < group.Size(); ++vm) {
    group.Files(vm).SetCapacity(0);
  }
  const int leader = group.Leader();
  const std::string code = group.Code(leader, Submission("1", 1, 0, ""));
  BOOST_TEST(code != kAccepted);
  for (int vm = 0; vm < group.Size(); ++vm) {
    group.Files(vm).SetCapacity(std::nullopt);
  }
  group.Run(absl::Seconds(5));
  const int later = group.Leader();
  BOOST_REQUIRE(later >= 0);
  BOOST_TEST(group.Code(later, Submission("1", 1, 0, "")) == kAccepted);
}

/// Disks that are full for some seconds each, one after another, end no process
/// and leave a group that takes changes.
RC_BOOST_PROP(DisksThatAreFullInTurnAreWaitedOut, ()) {
  control_group group(3, 4, *rc::gen::arbitrary<uint32_t>());
  group.Run(absl::Seconds(4));
  operators people(&group);
  const auto full = absl::Milliseconds(*rc::gen::inRange(300, 5000));
  const auto pause = absl::Milliseconds(*rc::gen::element(0, 100, 1000));
  for (int turn = 0; turn < 2 * group.Size(); ++turn) {
    const int vm = turn % group.Size();
    group.Files(vm).SetCapacity(Below(2) == 0 ? 0 : 2000 + Below(4000));
    for (absl::Duration passed; passed < full;
         passed += absl::Milliseconds(200)) {
      people.Act();
      group.Run(absl::Milliseconds(200));
      people.Check();
      RC_ASSERT(group.IsUp(vm));
    }
    group.Files(vm).SetCapacity(std::nullopt);
    group.Run(pause);
  }
  group.Run(absl::Seconds(3));
  people.Check();
  people.CheckNothingIsLost();
  const uint64_t before = people.LastAccepted();
  for (int attempt = 0; attempt < 5; ++attempt) {
    people.SubmitAnew();
    group.Run(absl::Seconds(1));
    people.Check();
  }
  RC_ASSERT(people.LastAccepted() > before);
}

// The text in force and its base, as the leader shows them.
inner::operator_answer Shown(calm_group* group, int vm) {
  inner::control_request show;
  show.mutable_operation()->set_command("show");
  group->TakeAnswers();
  group->Ask(vm, "operator", show);
  return group->TakeAnswers().back().answer.operation();
}

BOOST_AUTO_TEST_CASE(ARefusedTextComesWithAllItsFaults) {
  calm_group group;
  inner::control_request faulty = Submission("1", 1, 0, "");
  faulty.mutable_operation()->set_text(R"({"services":[{"name":1},2]})");
  group.TakeAnswers();
  group.Ask(group.Leader(), "operator", faulty);
  const inner::operator_answer answer =
      group.TakeAnswers().back().answer.operation();
  BOOST_TEST(answer.code() == CodeOf(error_kind::kSchemaViolation));
  BOOST_REQUIRE(answer.faults_size() == 4);
  std::set<std::string> places;
  for (const inner::operator_fault& fault : answer.faults()) {
    places.insert(fault.place());
    BOOST_TEST(fault.detail().front() == '/');
  }
  BOOST_TEST(places.size() >= 2U);
}

BOOST_AUTO_TEST_CASE(ALeaderServesAndLeadsWhileATextIsChecked) {
  calm_group group;
  const int leader = group.Leader();
  group.SetCheckTime(absl::Seconds(600));
  group.TakeAnswers();
  group.Ask(leader, "operator", Submission("1", 1, 0, ""));
  group.Run(absl::Seconds(10));
  BOOST_TEST(group.TakeAnswers().empty());
  BOOST_TEST(group.Leader() == leader);
  group.SetCheckTime(absl::ZeroDuration());
  BOOST_TEST(group.Code(leader, Submission("2", 1, 0, "")) == kAccepted);
  group.TakeAnswers();
  group.Run(absl::Seconds(600));
  // The text is checked by now; the base that it names is in force no more.
  const auto answers = group.TakeAnswers();
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers.front().answer.operation().code() ==
             CodeOf(error_kind::kVersionConflict));
}

BOOST_AUTO_TEST_CASE(ATextBeyondTheBoundIsAnsweredBusyAtOnce) {
  calm_group group;
  const int leader = group.Leader();
  group.SetCheckTime(absl::Hours(1));
  group.SetCheckRoom(1);
  group.Ask(leader, "first", Submission("1", 1, 0, ""));
  group.TakeAnswers();
  group.Ask(leader, "second", Submission("2", 1, 0, ""));
  const auto answers = group.TakeAnswers();
  BOOST_REQUIRE(answers.size() == 1U);
  BOOST_TEST(answers.front().client == "second");
  BOOST_TEST(answers.front().answer.operation().code() ==
             CodeOf(error_kind::kBusy));
}

BOOST_AUTO_TEST_CASE(TheLeaderCountsWhatItDoes) {
  calm_group group;
  const int leader = group.Leader();
  BOOST_REQUIRE(group.Code(leader, Submission("1", 1, 0, "")) == kAccepted);
  BOOST_REQUIRE(group.Code(leader, Submission("2", 1, 0, "")) ==
                CodeOf(error_kind::kVersionConflict));
  inner::control_request request;
  request.mutable_pull()->set_node_name("node");
  request.mutable_pull()->mutable_announced_balancer()->set_inner(
      "192.0.2.9:1");
  group.Ask(leader, "node", request);
  request.mutable_operation()->set_command("status");
  group.TakeAnswers();
  group.Ask(leader, "operator", request);
  const auto status = nlohmann::json::parse(
      group.TakeAnswers().back().answer.operation().status_json());
  const auto& counters = status["metrics"]["counters"];
  BOOST_TEST(counters["texts_accepted"] == 1);
  BOOST_TEST(counters["texts_refused"] == 1);
  BOOST_TEST(counters["pulls"] == 1);
  BOOST_TEST(counters["full_views_sent"] == 1);
  BOOST_TEST(counters["leaderships"] == 1);
  BOOST_TEST(counters["entries_committed"] >= 3);
  const auto& commit = status["metrics"]["latencies"]["commit_time"];
  BOOST_TEST(commit["count"] >= 2);
  BOOST_TEST(commit["max_us"] > 0.0);
}

BOOST_AUTO_TEST_CASE(ALeaderWhoseClockIsAheadDoesNotShortenAQuarantine) {
  calm_group group;
  const int first = group.Leader();
  BOOST_REQUIRE(group.Code(first, Submission("1", 3, 0, "")) == kAccepted);
  const inner::operator_answer both = Shown(&group, first);
  BOOST_REQUIRE(group.Code(first, Submission("2", 2, both.version(),
                                             both.digest())) == kAccepted);
  // All of them: of three voters that start again, two elect no leader.
  for (int vm = 0; vm < group.Size(); ++vm) {
    group.Crash(vm);
    group.SetClockOffset(vm, absl::Hours(vm + 1));
    group.Start(vm);
  }
  group.Run(absl::Seconds(3));
  const int second = group.Leader();
  BOOST_REQUIRE(second >= 0);
  const inner::operator_answer one = Shown(&group, second);
  // Another service asks for the address that the first one has given up.
  inner::control_request taking =
      Submission("3", 2, one.version(), one.digest());
  taking.mutable_operation()->set_text(
      R"({"services":[{"name":"other","address":"192.0.2.1:5683",)"
      R"("protocol":"datagram"}]})");
  BOOST_TEST(group.Code(second, taking) ==
             CodeOf(error_kind::kAddressQuarantined));
}

/// Guards against a voter that leaves with its vote although a standby is
/// there: the loss of one more disk then ended the group.
BOOST_AUTO_TEST_CASE(AnOrderlyStopHandsTheVoteOver) {
  calm_group group;
  for (const bool leads : {false, true}) {
    const int leader = group.Leader();
    BOOST_REQUIRE(leader >= 0);
    int chosen = leads ? leader : -1;
    for (int vm = 0; vm < group.Size() && chosen < 0; ++vm) {
      const control_member& member = group.Member(vm);
      chosen =
          vm != leader && member.Membership().IsVoter(member.Id()) ? vm : -1;
    }
    control_member& stopped = group.Member(chosen);
    stopped.BeginStop(group.Now(chosen));
    group.Run(absl::Milliseconds(1400));
    BOOST_TEST(stopped.IsStopped(group.Now(chosen)));
    BOOST_TEST(!stopped.Membership().IsVoter(stopped.Id()));
    BOOST_TEST(stopped.Membership().VoterCount() == 3U);
    group.Crash(chosen);
    group.Start(chosen);
    group.Run(absl::Seconds(2));
  }
}

BOOST_AUTO_TEST_CASE(AnOrderlyStopHandsTheLeadershipOver) {
  calm_group group;
  const int leader = group.Leader();
  group.Member(leader).BeginStop(group.Now(leader));
  group.Run(absl::Milliseconds(200));
  BOOST_TEST(!group.Member(leader).Leads());
  group.Crash(leader);
  const int next = group.Leader();
  BOOST_REQUIRE(next >= 0);
  BOOST_TEST(group.Code(next, Submission("1", 1, 0, "")) == kAccepted);
}

}  // namespace
}  // namespace cardamomroute
