#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "base/concat.h"
#include "cardamomroute/control_group_test_support.h"
#include "cardamomroute/control_member.h"

namespace cardamomroute {
namespace {

constexpr char kAccepted[] = "accepted";
constexpr int kSteps = 25;

int Below(int end) { return *rc::gen::inRange(0, end); }

inner::control_request Put(uint64_t version, const std::string& document,
                           uint64_t number = 1) {
  inner::control_request request;
  inner::operator_request* operation = request.mutable_operation();
  operation->set_command("put-configuration");
  operation->set_request(number);
  operation->mutable_configuration()->set_version(version);
  operation->mutable_configuration()->set_document(document);
  return request;
}

inner::control_request Show(uint64_t number) {
  inner::control_request request;
  request.mutable_operation()->set_command("show-configuration");
  request.mutable_operation()->set_request(number);
  return request;
}

/// Operators that race, repeat themselves and reuse numbers, and what they were
/// told.
class configuration_operators {
 public:
  explicit configuration_operators(control_group* group) : group_(group) {}

  void Act() {
    const int vm = Below(group_->Size());
    if (Below(3) == 0) {
      asked_at_least_[++request_] = Highest();
      group_->Ask(vm, "operator", Show(request_));
      return;
    }
    const auto version = *rc::gen::inRange<uint64_t>(1, 13);
    // The same number may come with other content.
    const std::string document = Concat(version, "-", Below(2));
    sent_[++request_] = {version, document};
    group_->Ask(vm, "operator", Put(version, document, request_));
  }

  // Whatever is told must not contradict what was told before.
  void Check() {
    for (const heard_answer& heard : group_->TakeAnswers()) {
      if (heard.answer.has_operation()) {
        Check(heard.answer.operation());
      }
    }
    for (int vm = 0; vm < group_->Size(); ++vm) {
      if (group_->IsUp(vm)) {
        Note(*group_->Member(vm).State().Configuration());
      }
    }
  }

  uint64_t Highest() const { return highest_; }

 private:
  struct sent_put {
    uint64_t version = 0;
    std::string document;
  };

  void Check(const inner::operator_answer& answer) {
    const auto put = sent_.find(answer.request());
    if (answer.code() == kAccepted) {
      RC_ASSERT(put != sent_.end());
      RC_ASSERT(answer.version() >= put->second.version);
      highest_ = std::max(highest_, put->second.version);
    } else if (answer.code() == "ok") {
      const auto shown = asked_at_least_.find(answer.request());
      RC_ASSERT(shown != asked_at_least_.end());
      RC_ASSERT(answer.version() >= shown->second);
      inner::configuration_record record;
      record.set_version(answer.version());
      record.set_document(answer.document());
      Note(record);
    }
  }

  // One content a version, everywhere and for ever.
  void Note(const inner::configuration_record& record) {
    if (record.version() != 0) {
      const auto known =
          contents_.emplace(record.version(), record.document()).first;
      RC_ASSERT(known->second == record.document());
    }
  }

  control_group* const group_;
  uint64_t request_ = 0;
  std::map<uint64_t, sent_put> sent_;
  std::map<uint64_t, uint64_t> asked_at_least_;
  std::map<uint64_t, std::string> contents_;
  uint64_t highest_ = 0;
};

void Disturb(control_group* group) {
  const int vm = Below(group->Size());
  switch (Below(6)) {
    case 0:
      group->IsUp(vm) ? group->Crash(vm) : group->Start(vm);
      break;
    case 1:
      group->Isolate(vm);
      break;
    case 2:
      group->Heal();
      break;
    case 3:
      group->SetLoss(static_cast<uint32_t>(Below(20)));
      break;
    default:
      break;
  }
}

void EndFaults(control_group* group) {
  group->Heal();
  group->SetLoss(0);
  for (int vm = 0; vm < group->Size(); ++vm) {
    if (!group->IsUp(vm)) {
      group->Start(vm);
    }
  }
  group->Run(absl::Seconds(4));
}

// Crashes, cuts, loss: what was acknowledged is there in the end, and no member
// ever has two contents of one version.
RC_BOOST_PROP(AcknowledgedConfigurationsAreNeverLost, (uint32_t seed)) {
  control_group group(3, 3, seed);
  configuration_operators operators(&group);
  group.Run(absl::Seconds(2));
  for (int i = 0; i < kSteps; ++i) {
    Disturb(&group);
    operators.Act();
    group.Run(absl::Milliseconds(Below(400)));
    operators.Check();
  }
  EndFaults(&group);
  operators.Check();
  for (int vm = 0; vm < group.Size(); ++vm) {
    RC_ASSERT(group.Member(vm).State().Configuration()->version() >=
              operators.Highest());
  }
}

// A member that starts again alone knows what it had applied, before there is
// any leader.
BOOST_AUTO_TEST_CASE(AMemberServesItsConfigurationWithoutALeader) {
  control_group group(3, 3, 1);
  group.Run(absl::Seconds(2));
  for (int vm = 0; vm < 3; ++vm) {
    group.Ask(vm, "operator", Put(7, "seven"));
  }
  group.Run(absl::Seconds(1));
  for (int vm = 0; vm < 3; ++vm) {
    BOOST_TEST(group.Member(vm).State().Configuration()->version() == 7U);
    group.Crash(vm);
  }
  for (int vm = 0; vm < 3; ++vm) {
    group.Start(vm);
    // Pattern: all have stopped, and balancers wait for routes.
    BOOST_TEST((group.Member(vm).NextDeadline() <= group.Now(vm)));
    group.Run(absl::Milliseconds(10));
    BOOST_TEST(group.Member(vm).State().Configuration()->version() == 7U);
    group.Crash(vm);
  }
}

BOOST_AUTO_TEST_CASE(AnOvertakenVersionIsAcknowledgedByAnyMember) {
  control_group group(3, 3, 1);
  group.Run(absl::Seconds(2));
  for (int vm = 0; vm < 3; ++vm) {
    group.Ask(vm, "operator", Put(7, "seven"));
  }
  group.Run(absl::Seconds(1));
  group.TakeAnswers();
  for (int vm = 0; vm < 3; ++vm) {
    group.Ask(vm, "operator", Put(6, "six", 60));
    group.Ask(vm, "operator", Put(7, "other", 70));
  }
  group.Run(absl::Milliseconds(10));
  const auto answers = group.TakeAnswers();
  BOOST_REQUIRE(answers.size() == 6U);
  for (const heard_answer& heard : answers) {
    BOOST_TEST(heard.answer.operation().code() == kAccepted);
    BOOST_TEST(heard.answer.operation().version() == 7U);
  }
  for (int vm = 0; vm < 3; ++vm) {
    BOOST_TEST(group.Member(vm).State().Configuration()->document() == "seven");
  }
}

}  // namespace
}  // namespace cardamomroute
