#include "cardamomroute/operator_commands.h"

#include <rapidcheck/boost_test.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "base/error_kind.h"
#include "cardamomroute/command_line.h"
#include "cardamomroute/control_link_test_support.h"

namespace cardamomroute {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr const char* kText = R"({"services": [
  {"name": "a", "address": "192.0.2.1:1", "protocol": "datagram"}]})";

/// A file that is removed with the object.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) {
    std::string pattern = (fs::temp_directory_path() / "text-XXXXXX").string();
    close(mkstemp(pattern.data()));
    path_ = pattern;
    std::ofstream(path_) << text;
  }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;
  ~temporary_file() { fs::remove(path_); }

  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

/// What one command gave back.
struct outcome {
  int status = 0;
  std::vector<json> lines;
  std::string out;
  std::string err;
};

command_line LineOf(command_verb verb, const std::string& operand = "") {
  command_line line;
  line.verb = verb;
  line.operand = operand;
  line.json = true;
  for (const char* address : {"192.0.2.1:7000", "192.0.2.2:7000"}) {
    line.control.push_back(ParseEndpoint(address).value());
  }
  return line;
}

outcome Run(const command_line& line, fake_control_group& group) {
  std::ostringstream out;
  std::ostringstream err;
  outcome seen;
  seen.status = RunOperatorCommand(line, {group, out, err, "fresh"});
  seen.out = out.str();
  seen.err = err.str();
  std::istringstream lines(line.json ? seen.out : "");
  for (std::string one; std::getline(lines, one);) {
    seen.lines.push_back(json::parse(one));
  }
  return seen;
}

std::vector<fate> AnyFates() {
  return *rc::gen::container<std::vector<fate>>(rc::gen::map(
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, kFates)),
      [](int number) { return static_cast<fate>(number); }));
}

RC_BOOST_PROP(WhatApplySaysIsWhatHappened, ()) {
  const temporary_file file(kText);
  const fate last =
      *rc::gen::element(fate::kAnswered, fate::kNoQuorum, fate::kRequestLost,
                        fate::kNotLeader, fate::kRefusedConnection);
  fake_control_group group(AnyFates(), last);
  command_line line = LineOf(command_verb::kApply, file.Path());
  if (*rc::gen::arbitrary<bool>()) {
    line.base = text_base{3, std::string(64, 'd')};
  }
  const outcome seen = Run(line, group);
  group.DeliverDelayed();
  RC_ASSERT(group.SentIds().size() <= 1U);
  const std::string effect = seen.lines.at(0)["effect"];
  const bool accepted = group.HasAccepted("fresh");
  if (effect == "done") {
    RC_ASSERT(accepted);
    RC_ASSERT(seen.lines[0]["code"] == "accepted");
    RC_ASSERT(seen.lines.size() == 2U);
    RC_ASSERT((seen.lines[1]["code"] == "in-force") == (seen.status == 0));
  } else if (effect != "unknown") {
    RC_ASSERT(!accepted);
  }
  if (effect != "done") {
    RC_ASSERT(seen.status != 0);
  }
}

RC_BOOST_PROP(AfterFaultsEndApplyFindsOutWhatHappened, ()) {
  const temporary_file file(kText);
  std::vector<fate> fates = AnyFates();
  fates.resize(std::min<size_t>(fates.size(), 3));
  fake_control_group group(fates, fate::kAnswered);
  command_line line = LineOf(command_verb::kApply, file.Path());
  line.base = text_base{3, std::string(64, 'd')};
  const outcome seen = Run(line, group);
  RC_ASSERT(seen.lines.at(0)["effect"] != "unknown");
  RC_ASSERT((seen.lines[0]["code"] == "accepted") ==
            group.HasAccepted("fresh"));
}

BOOST_AUTO_TEST_CASE(AnUnknownOutcomeSaysHowToRepeatTheSameSubmission) {
  const temporary_file file(kText);
  fake_control_group group({fate::kAnswered, fate::kAnswerLost},
                           fate::kRefusedConnection);
  command_line line = LineOf(command_verb::kApply, file.Path());
  const outcome first = Run(line, group);
  BOOST_REQUIRE(first.lines.size() == 1U);
  BOOST_TEST(first.lines[0]["code"] == "outcome-unknown");
  BOOST_TEST(first.lines[0]["detail"] ==
             "--base 3:" + std::string(64, 'd') + " --submission fresh");
  BOOST_TEST(group.HasAccepted("fresh"));
}

BOOST_AUTO_TEST_CASE(WhatAControlVmSaidCountsMoreThanThatOthersAreSilent) {
  fake_control_group group({fate::kNoQuorum}, fate::kRefusedConnection);
  const outcome seen = Run(LineOf(command_verb::kShow), group);
  BOOST_TEST(seen.lines.at(0)["code"] == "no-quorum");
}

BOOST_AUTO_TEST_CASE(ApplyTellsAcceptedFromInForce) {
  const temporary_file file(kText);
  command_line line = LineOf(command_verb::kApply, file.Path());
  fake_control_group healthy({}, fate::kAnswered);
  const outcome whole = Run(line, healthy);
  BOOST_TEST(whole.status == 0);
  BOOST_TEST(whole.lines.at(1)["code"] == "in-force");
  BOOST_TEST(whole.lines.at(1)["nodes_in_force"] == 2);

  fake_control_group cut({fate::kAnswered, fate::kAnswered},
                         fate::kRequestLost);
  const outcome partial = Run(line, cut);
  BOOST_TEST(partial.status == RowOf(error_kind::kNotInForce).exit_status);
  BOOST_TEST(partial.lines.at(0)["code"] == "accepted");
  BOOST_TEST(partial.lines.at(1)["code"] == "not-in-force");
  BOOST_TEST(partial.lines.at(1)["seconds"] >= 30);

  line.wait = false;
  fake_control_group unwatched({}, fate::kAnswered);
  BOOST_TEST(Run(line, unwatched).lines.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ATextWithFaultsIsNotSent) {
  const temporary_file file(R"({"services": [{"name": 1}, 2]})");
  fake_control_group group({}, fate::kAnswered);
  for (const command_verb verb : {command_verb::kApply, command_verb::kCheck}) {
    const outcome seen = Run(LineOf(verb, file.Path()), group);
    BOOST_TEST(seen.status == RowOf(error_kind::kSchemaViolation).exit_status);
    BOOST_TEST(seen.lines.size() == 4U);
    BOOST_TEST(seen.lines.at(0)["line"] == 1);
  }
  BOOST_TEST(group.SentIds().empty());
}

BOOST_AUTO_TEST_CASE(EveryFaultThatControlFoundIsShown) {
  const temporary_file file(kText);
  fake_control_group group({}, fate::kAnswered);
  inner::operator_answer refusal;
  refusal.set_code(std::string(CodeOf(error_kind::kDuplicateName)));
  for (const char* place : {"text:2:3", "text:4:5"}) {
    inner::operator_fault* fault = refusal.add_faults();
    fault->set_code(refusal.code());
    fault->set_place(place);
    fault->set_detail("/services/1/name: service \"a\" stands twice");
  }
  group.RefuseTexts(refusal);
  command_line line = LineOf(command_verb::kApply, file.Path());
  line.answers = language::kJa;
  const outcome seen = Run(line, group);
  BOOST_TEST(seen.status == RowOf(error_kind::kDuplicateName).exit_status);
  BOOST_REQUIRE(seen.lines.size() == 2U);
  BOOST_TEST(seen.lines[1]["place"] == file.Path() + ":4:5");
  BOOST_TEST(seen.lines[1]["line"] == 4);
  BOOST_TEST(seen.lines[1]["detail"] ==
             "/services/1/name: サービス「a」が二度あります");
}

BOOST_AUTO_TEST_CASE(ANodeIsAskedOnceAndDirectly) {
  command_line line = LineOf(command_verb::kStatus);
  line.control.clear();
  line.node = ParseEndpoint("192.0.2.7:7001").value();
  fake_control_group node({}, fate::kAnswered);
  BOOST_TEST(Run(line, node).lines.at(0)["version"] == 3);
  for (const fate lost : {fate::kRefusedConnection, fate::kRequestLost}) {
    fake_control_group silent({lost}, fate::kAnswered);
    const outcome seen = Run(line, silent);
    BOOST_TEST(seen.status == RowOf(error_kind::kUnreachable).exit_status);
    BOOST_TEST(seen.lines.at(0)["code"] == "unreachable");
    BOOST_TEST(seen.lines.at(0)["place"] == "192.0.2.7:7001");
  }
}

BOOST_AUTO_TEST_CASE(BeforeTheFirstTextThereIsNone) {
  fake_control_group group({}, fate::kAnswered);
  group.SetText("");
  const outcome seen = Run(LineOf(command_verb::kShow), group);
  BOOST_TEST(seen.status == 0);
  BOOST_TEST(seen.lines.at(0)["text"].is_null());
}

BOOST_AUTO_TEST_CASE(TheOtherCommandsAnswerForPeopleAndPrograms) {
  const temporary_file file(kText);
  fake_control_group group({}, fate::kAnswered);
  command_line line = LineOf(command_verb::kShow);
  BOOST_TEST(Run(line, group).lines.at(0)["text"]["services"].is_array());
  line.json = false;
  BOOST_TEST(Run(line, group).err == "3:" + std::string(64, 'd') + "\n");
  line = LineOf(command_verb::kStatus);
  BOOST_TEST(Run(line, group).lines.at(0)["version"] == 3);
  line.json = false;
  BOOST_TEST(Run(line, group).out == "version: 3\n\ntargets\nid\n1\n");
  line = LineOf(command_verb::kDrain, "7");
  BOOST_TEST(Run(line, group).lines.at(0)["code"] == "drain-started");
  line = LineOf(command_verb::kCheck, file.Path());
  BOOST_TEST(Run(line, group).lines.at(0)["code"] == "valid");
  fake_control_group gone({}, fate::kRefusedConnection);
  line = LineOf(command_verb::kMembers);
  line.json = false;
  const outcome unreachable = Run(line, gone);
  BOOST_TEST(unreachable.status == RowOf(error_kind::kUnreachable).exit_status);
  BOOST_TEST(unreachable.out.empty());
  BOOST_TEST(unreachable.err.find("unreachable") != std::string::npos);
}

}  // namespace
}  // namespace cardamomroute
