#include "cardamomroute/command_line.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace cardamomroute {
namespace {

result<command_line> Parse(const std::vector<std::string>& arguments) {
  std::vector<const char*> argv = {"cardamomroute"};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  return ParseCommandLine(static_cast<int>(argv.size()), argv.data());
}

const std::string& Digest() {
  static const std::string kDigest(64, 'a');
  return kDigest;
}

BOOST_AUTO_TEST_CASE(ReadsEachCommandWithItsOptionsInAnyPlace) {
  for (const char* role : {"control", "balancer", "agent"}) {
    const command_line line = Parse({"--settings=s.json", role}).value();
    BOOST_TEST(NameOf(line.verb) == role);
    BOOST_TEST(line.settings_path == "s.json");
  }
  const command_line apply =
      Parse({"--json", "apply", "--control",
             "192.0.2.1:7000,[2001:db8::1]:7000", "t.json", "--base",
             "12:" + Digest(), "--submission", "a-1", "--no-wait", "--language",
             "ja"})
          .value();
  BOOST_TEST((apply.verb == command_verb::kApply));
  BOOST_TEST(apply.operand == "t.json");
  BOOST_TEST(apply.control.size() == 2U);
  BOOST_TEST(ToString(apply.control[1]) == "[2001:db8::1]:7000");
  BOOST_TEST(apply.base->version == 12U);
  BOOST_TEST(apply.base->digest == Digest());
  BOOST_TEST(apply.submission == "a-1");
  BOOST_TEST(!apply.wait);
  BOOST_TEST(apply.json);
  BOOST_TEST((apply.answers == language::kJa));
  const command_line status =
      Parse({"status", "--node", "192.0.2.1:7"}).value();
  BOOST_TEST(ToString(*status.node) == "192.0.2.1:7");
  BOOST_TEST(status.control.empty());
  BOOST_TEST(Parse({"check", "--", "--odd-name"}).value().operand ==
             "--odd-name");
  const command_line recover =
      Parse({"recover", "--settings", "s", "--confirm", "0a:7"}).value();
  BOOST_TEST(recover.settings_path == "s");
  BOOST_TEST(recover.confirm == "0a:7");
  BOOST_TEST((Parse({"--help"}).value().verb == command_verb::kHelp));
  BOOST_TEST(
      (Parse({"apply", "--version"}).value().verb == command_verb::kVersion));
}

BOOST_AUTO_TEST_CASE(RefusesWhatIsUnknownMissingRepeatedOrStray) {
  const std::vector<std::vector<std::string>> refused = {
      {},
      {""},
      {"start"},
      {"check"},
      {"check", ""},
      {"check", "a", "b"},
      {"check", "a", "--control", "192.0.2.1:1"},
      {"check", "a", "--frob"},
      {"check", "a", "-x"},
      {"check", "a", "--js"},
      {"check", "a", "--json=yes"},
      {"check", "a", "--json", "--json"},
      {"check", "a", "--language", "de"},
      {"control"},
      {"control", "--settings"},
      {"control", "--settings="},
      {"control", "--settings", "s", "more"},
      {"recover"},
      {"recover", "--settings", "s", "--confirm="},
      {"control", "--settings", "s", "--confirm", "0a:7"},
      {"show"},
      {"show", "--control", "localhost:1"},
      {"show", "--control", "192.0.2.1:1,"},
      {"show", "--control", "192.0.2.1:0"},
      {"show", "--node", "192.0.2.1:1"},
      {"status"},
      {"status", "--node", "192.0.2.1"},
      {"status", "--node", "192.0.2.1:1,192.0.2.2:1"},
      {"status", "--node", "192.0.2.1:1", "--control", "192.0.2.1:1"},
      {"apply", "a", "--control", "192.0.2.1:1", "--base", "x"},
      {"apply", "a", "--control", "192.0.2.1:1", "--base", "3"},
      {"apply", "a", "--control", "192.0.2.1:1", "--base", "3:ABC"},
      {"apply", "a", "--control", "192.0.2.1:1", "--submission", "a b"},
      {"apply", "a", "--control", "192.0.2.1:1", "--wait", "--no-wait"}};
  for (const std::vector<std::string>& arguments : refused) {
    const auto line = Parse(arguments);
    BOOST_REQUIRE(line.has_error());
    BOOST_TEST((line.error().kind == error_kind::kUsage));
    BOOST_TEST(!line.error().detail.empty());
  }
}

BOOST_AUTO_TEST_CASE(FindsTheLanguageForTheAnswerToABadLine) {
  const std::vector<std::pair<std::vector<const char*>, language>> lines = {
      {{"c", "--frob", "--language", "cs"}, language::kCs},
      {{"c", "--language=ja", "what"}, language::kJa},
      {{"c", "--language"}, language::kEn},
      {{"c", "--language", "de"}, language::kEn},
      {{"c", "check"}, language::kEn}};
  for (const auto& [words, wanted] : lines) {
    BOOST_TEST((RequestedLanguage(static_cast<int>(words.size()),
                                  words.data()) == wanted));
  }
}

RC_BOOST_PROP(AnyWordsAreReadOrRefused, ()) {
  const auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::oneOf(rc::gen::element<std::string>(
                         "apply", "drain", "--control", "--json", "192.0.2.1:1",
                         "--", "-", "--base=0", "--wait"),
                     rc::gen::nonEmpty(rc::gen::string<std::string>())));
  const auto line = Parse(words);
  if (line.has_error()) {
    RC_ASSERT(line.error().kind == error_kind::kUsage);
  }
}

BOOST_AUTO_TEST_CASE(HelpNamesEveryCommandInEachLanguage) {
  for (const language wanted : {language::kCs, language::kJa, language::kEn}) {
    for (int verb = 0; verb <= static_cast<int>(command_verb::kVersion);
         ++verb) {
      const std::string name(NameOf(static_cast<command_verb>(verb)));
      BOOST_TEST(HelpText(wanted).find("  " + name) != std::string::npos);
    }
  }
}

}  // namespace
}  // namespace cardamomroute
