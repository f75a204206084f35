#include "base/settings_loader.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cardamomroute {
namespace {

constexpr const char* kControl = R"({
  "name": "control-1",
  "zone": "praha-a",
  "log": {"level": "DEBUG", "json": true},
  "control": {
    "listen": "192.0.2.1:7000",
    "data_folder": "data",
    "peers": [
      {"name": "control-1", "address": "192.0.2.1:7000"},
      {"name": "control-2", "address": "192.0.2.2:7000"}
    ]
  }
})";

std::vector<error> FaultsOf(std::string_view text,
                            std::string_view role = "control") {
  const auto read = ReadSettings("s.json", text, role);
  return read.has_error() ? read.error() : std::vector<error>{};
}

std::vector<std::string> CodesAndPlaces(const std::vector<error>& faults) {
  std::vector<std::string> seen;
  seen.reserve(faults.size());
  for (const error& fault : faults) {
    seen.push_back(std::string(CodeOf(fault.kind)) + " " + fault.place);
  }
  return seen;
}

void CheckFaults(std::string_view text, std::vector<std::string> expected,
                 std::string_view role = "control") {
  const auto seen = CodesAndPlaces(FaultsOf(text, role));
  BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ReadsTheSectionOfTheRole) {
  const settings read = ReadSettings("s.json", kControl, "control").value();
  BOOST_TEST(read.name == "control-1");
  BOOST_TEST(read.zone == "praha-a");
  BOOST_TEST(read.log.level == "DEBUG");
  BOOST_TEST(read.log.json);
  BOOST_TEST(read.log.kept_files == 4U);
  BOOST_TEST(ToString(read.control.listen) == "192.0.2.1:7000");
  BOOST_TEST(read.control.peers.size() == 2U);
  BOOST_TEST(read.control.max_direct_nodes == 256U);
  CheckFaults(kControl, {"schema-violation s.json:1:1"}, "agent");
  CheckFaults(kControl, {"usage captain"}, "captain");
}

BOOST_AUTO_TEST_CASE(ControlServesAtLeastTwoNodesItself) {
  const auto with = [](const char* nodes) {
    std::string text = kControl;
    return text.insert(text.find("\"data_folder\""),
                       std::string("\"max_direct_nodes\": ") + nodes + ", ");
  };
  const settings read = ReadSettings("s.json", with("2"), "control").value();
  BOOST_TEST(read.control.max_direct_nodes == 2U);
  CheckFaults(with("1"), {"schema-violation s.json:7:25"});
}

BOOST_AUTO_TEST_CASE(EveryFaultOfTheSchemaAtOnceInTheOrderOfTheText) {
  CheckFaults(R"({
  "name": "",
  "zone": 4,
  "colour": "red",
  "agent": {
    "control": [],
    "inner": "192.0.2.1:1", "slots": 0, "speed": 1,
    "upstream": "192.0.2.1:2"
  }
})",
              {"schema-violation s.json:2:11", "schema-violation s.json:3:11",
               "schema-violation s.json:4:13", "schema-violation s.json:5:12",
               "schema-violation s.json:6:16", "schema-violation s.json:7:38",
               "schema-violation s.json:7:50"},
              "agent");
}

BOOST_AUTO_TEST_CASE(EveryFaultOfTheMeaningAtOnce) {
  CheckFaults(
      R"({"name": "a", "zone": "z", "control": {
  "listen": "localhost:1",
  "data_folder": "d",
  "peers": [
    {"name": "b", "address": "192.0.2.1:1"},
    {"name": "b", "address": "192.0.2.1:1"},
    {"name": "c", "address": "192.0.2.1:0"}
  ]
}})",
      {"value-out-of-range s.json:2:13", "value-out-of-range s.json:4:12",
       "duplicate-name s.json:6:14", "duplicate-address s.json:6:30",
       "value-out-of-range s.json:7:30"});
}

BOOST_AUTO_TEST_CASE(PathOfReportsIsOptionalAndBeginsWithASlash) {
  const auto text = [](const char* more) {
    return std::string(R"({"name": "a", "zone": "z", "agent": {
  "control": ["192.0.2.1:1"], "inner": "192.0.2.2:1", "service": "s",
  "upstream": "192.0.2.3:1")") +
           more + "}}";
  };
  const settings read =
      ReadSettings("s.json", text(", \"report_path\": \"/load\""), "agent")
          .value();
  BOOST_TEST(read.agent.report_path == "/load");
  BOOST_TEST(ReadSettings("s.json", text(""), "agent")
                 .value()
                 .agent.report_path.empty());
  CheckFaults(text(", \"report_path\": \"load\""),
              {"value-out-of-range s.json:3:45"}, "agent");
  CheckFaults(text(", \"report_path\": 1"), {"schema-violation s.json:3:45"},
              "agent");
}

BOOST_AUTO_TEST_CASE(OptionOfDeadlinesIsElectiveAndNotRegistered) {
  const auto text = [](const char* number) {
    return std::string(R"({"name": "a", "zone": "z", "agent": {
  "control": ["192.0.2.1:1"], "inner": "192.0.2.2:1", "service": "s",
  "upstream": "192.0.2.3:1", "deadline_option": )") +
           number + "}}";
  };
  const auto read = ReadSettings("s.json", text("65020"), "agent");
  BOOST_TEST(read.value().agent.deadline_option == 65020U);
  for (const char* number :
       {"0", "2046", "65019", "65536", "-2", "\"65020\""}) {
    CheckFaults(text(number), {"schema-violation s.json:3:49"}, "agent");
  }
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsNotStrictJson) {
  CheckFaults("{\"name\": \"\xC3\x28\"}", {"not-utf8 s.json:1:11"});
  CheckFaults("{\"name\": \"a\",}", {"not-json s.json:1:14"});
  CheckFaults("", {"not-json s.json:1:1"});
  CheckFaults("{} x", {"not-json s.json:1:4"});
  CheckFaults("{\r\n\"a\": 1,\r\n\"a\": {\"b\": 1, \"b\": 2}}",
              {"duplicate-key s.json:3:1", "duplicate-key s.json:3:15"});
  CheckFaults(std::string(100000, '['), {"too-deep s.json:1:17"});
  CheckFaults(std::string(kMaxSettingsBytes + 1, ' '), {"too-large s.json"});
  const auto missing = LoadSettings("/no-such-folder/s.json", "control");
  BOOST_TEST((missing.error().at(0).kind == error_kind::kFileUnreadable));
}

RC_BOOST_PROP(MutatedSettingsNeverCrashAndFaultsHavePlaces, ()) {
  std::string text = kControl;
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 8);
    text.replace(at, length, *rc::gen::arbitrary<std::string>());
  }
  for (const error& fault : FaultsOf(text)) {
    RC_ASSERT(fault.place.rfind("s.json:", 0) == 0U);
    RC_ASSERT(!fault.detail.empty());
  }
}

/// A document of any shape, with the pointers to all of its values.
nlohmann::json AnyDocument(int depth) {
  const int shape = depth == 0 ? 0 : *rc::gen::inRange(0, 3);
  if (shape == 0) {
    return *rc::gen::element(nlohmann::json(-12.5), nlohmann::json("a]}:,\"\n"),
                             nlohmann::json(true), nlohmann::json(7),
                             nlohmann::json(nullptr));
  }
  nlohmann::json made =
      shape == 1 ? nlohmann::json::array() : nlohmann::json::object();
  const int size = *rc::gen::inRange(0, 4);
  for (int i = 0; i < size; ++i) {
    if (shape == 1) {
      made.push_back(AnyDocument(depth - 1));
    } else {
      made["k/~" + std::to_string(i)] = AnyDocument(depth - 1);
    }
  }
  return made;
}

RC_BOOST_PROP(EveryPointerLeadsToItsValueInTheText, ()) {
  const nlohmann::json document = AnyDocument(4);
  const std::string text = document.dump(*rc::gen::inRange(-1, 3));
  const auto read = json_text::Parse("t", text, {});
  RC_ASSERT(read.value().Value() == document);
  std::vector<std::string> lines(1);
  for (const char character : text) {
    character == '\n' ? (void)lines.emplace_back()
                      : lines.back().push_back(character);
  }
  const nlohmann::json leaves = document.flatten();
  for (const auto& leaf : leaves.items()) {
    const nlohmann::json::json_pointer path(leaf.key());
    if (document.at(path).is_structured()) {
      continue;
    }
    const text_position at = read.value().PositionOf(path);
    const std::string written = document.at(path).dump();
    RC_ASSERT(lines.at(at.line - 1).substr(at.column - 1, written.size()) ==
              written);
  }
}

}  // namespace
}  // namespace cardamomroute
