#include "operators/answer_table.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "operators/answer.h"

namespace cardamomroute {
namespace {

const std::regex& Figures() {
  static const std::regex kFigures(R"(\{[^}]*\}|[0-9]+)");
  return kFigures;
}

/// The figures that a text names or holds.
std::multiset<std::string> FiguresIn(std::string_view text) {
  const std::string searched(text);
  std::multiset<std::string> found;
  std::copy(
      std::sregex_token_iterator(searched.begin(), searched.end(), Figures()),
      std::sregex_token_iterator(), std::inserter(found, found.end()));
  return found;
}

void CheckLocalized(const localized_text& text) {
  std::set<std::string_view> different;
  for (const std::string_view one : text) {
    BOOST_TEST(!one.empty());
    BOOST_TEST((FiguresIn(one) == FiguresIn(text.back())));
    BOOST_TEST(different.insert(one).second);
  }
}

BOOST_AUTO_TEST_CASE(NoHoleAndNoLanguageAddsOrDropsAFigure) {
  std::set<std::string_view> codes;
  for (const answer_row& row : kAnswerTable) {
    BOOST_TEST_CONTEXT(row.code) {
      BOOST_TEST(codes.insert(row.code).second);
      CheckLocalized(row.message);
      CheckLocalized(row.action);
    }
  }
}

BOOST_AUTO_TEST_CASE(RowsFollowTheErrorsAndThenTheSuccesses) {
  for (const error_row& row : kErrorTable) {
    BOOST_TEST(AnswerOf(row.kind).code == row.code);
    BOOST_TEST(!IsSuccess(row.code));
    BOOST_TEST(ExitStatusOf(row.code) == row.exit_status);
  }
  BOOST_TEST(CodeOf(success_kind::kValid) == "valid");
  BOOST_TEST(CodeOf(success_kind::kAccepted) == "accepted");
  BOOST_TEST(CodeOf(success_kind::kInForce) == "in-force");
  BOOST_TEST(CodeOf(success_kind::kOk) == "ok");
  BOOST_TEST(CodeOf(success_kind::kDrainStarted) == "drain-started");
  BOOST_TEST(CodeOf(success_kind::kRecoverable) == "recoverable");
  BOOST_TEST(CodeOf(success_kind::kRecovered) == "recovered");
  BOOST_TEST(ExitStatusOf("accepted") == 0);
  BOOST_TEST(ExitStatusOf("from-a-newer-release") ==
             RowOf(error_kind::kOutcomeUnknown).exit_status);
}

answer WithEveryFigure(std::string_view code) {
  answer shown;
  shown.code = code;
  shown.place = "t.json:11:12";
  shown.detail = "why";
  shown.version = 13;
  shown.digest = "d14";
  shown.submission = "s15";
  shown.confirm = "0a:19";
  shown.nodes_in_force = 16;
  shown.nodes = 17;
  shown.seconds = 18;
  return shown;
}

BOOST_AUTO_TEST_CASE(EveryAnswerIsFilledInInEveryLanguage) {
  for (const answer_row& row : kAnswerTable) {
    for (const language wanted :
         {language::kCs, language::kJa, language::kEn}) {
      const answer shown = WithEveryFigure(row.code);
      const std::string text = RenderText(shown, wanted);
      BOOST_TEST(text.find_first_of("{}") == std::string::npos, text);
      BOOST_TEST(text.rfind("t.json:11:12: " + shown.code, 0) == 0U);
      const auto json = nlohmann::json::parse(RenderJson(shown, wanted));
      BOOST_TEST(json["line"] == 11);
      BOOST_TEST(json["column"] == 12);
      BOOST_TEST(json["version"] == 13);
      BOOST_TEST(json["confirm"] == "0a:19");
      BOOST_TEST(json["effect"].get<std::string>().size() > 0U);
      BOOST_TEST(text.find(json["message"].get<std::string>()) !=
                 std::string::npos);
    }
  }
  const std::string unknown =
      RenderText(WithEveryFigure("newer"), language::kJa);
  BOOST_TEST(unknown == "t.json:11:12: newer\n  why\n");
  BOOST_TEST(nlohmann::json::parse(RenderJson(WithEveryFigure("newer"),
                                              language::kJa))["effect"] ==
             "unknown");
}

BOOST_AUTO_TEST_CASE(OperatorsPageSaysWhatTheTableSays) {
  std::ifstream file(CARDAMOMROUTE_ROOT "/docs/OPERATING.md");
  std::stringstream page;
  page << file.rdbuf();
  for (const answer_row& row : kAnswerTable) {
    std::stringstream line;
    line << "| `" << row.code << "` | " << ExitStatusOf(row.code) << " | "
         << row.message.back() << " | " << row.action.back() << " |\n";
    BOOST_TEST(page.str().find(line.str()) != std::string::npos, line.str());
  }
}

}  // namespace
}  // namespace cardamomroute
