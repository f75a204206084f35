#include "operators/detail_phrases.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/concat.h"
#include "base/settings_loader.h"
#include "control/log_store_damage.h"
#include "services/service_text.h"

namespace cardamomroute {
namespace {

/// A pattern with values in place of its placeholders.
std::string With(std::string_view pattern, const std::string& first,
                 const std::string& second) {
  std::string text(pattern);
  for (const auto& [name, value] :
       {std::pair("{1}", second), std::pair("{0}", first)}) {
    const size_t at = text.find(name);
    if (at != std::string::npos) {
      text.replace(at, 3, value);
    }
  }
  return text;
}

RC_BOOST_PROP(EveryPhraseIsFoundAndKeepsWhatItQuotes, ()) {
  const auto& phrase = *rc::gen::elementOf(kPhrases);
  const auto word = rc::gen::nonEmpty(
      rc::gen::container<std::string>(rc::gen::inRange('0', 'z')));
  const std::string first = *word;
  const std::string second = *word;
  const std::string english = With(phrase.back(), first, second);
  for (const language wanted : {language::kCs, language::kJa, language::kEn}) {
    const std::string expected =
        With(phrase.at(static_cast<size_t>(wanted)), first, second);
    RC_ASSERT(LocalizeDetail(english, wanted) == expected);
    RC_ASSERT(LocalizeDetail("/a/0: " + english, wanted) ==
              "/a/0: " + expected);
  }
}

BOOST_AUTO_TEST_CASE(NoHoleAndNoLanguageAddsOrDropsAPlaceholder) {
  for (const localized_text& phrase : kPhrases) {
    const std::set<std::string_view> different(phrase.begin(), phrase.end());
    BOOST_TEST(different.size() == kLanguageCount, phrase.back());
    for (const std::string_view one : phrase) {
      for (const char* name : {"{0}", "{1}"}) {
        BOOST_TEST((one.find(name) == std::string_view::npos) ==
                   (phrase.back().find(name) == std::string_view::npos));
      }
    }
  }
}

void CheckLocalized(const std::vector<error>& faults, size_t count) {
  BOOST_TEST(faults.size() == count);
  for (const error& fault : faults) {
    BOOST_TEST(LocalizeDetail(fault.detail, language::kJa) != fault.detail,
               fault.detail);
  }
}

BOOST_AUTO_TEST_CASE(FaultsOfTextsAndSettingsAreLocalized) {
  CheckLocalized(
      ParseServices("t", R"({"services": [{"name": 1, "protocol": "tcp",
        "calls": [{"timeout_ms": 0}], "more": 1}, {}]})")
          .error(),
      13);
  CheckLocalized(ParseServices("t", R"({"services": [
    {"name": "", "address": "x", "protocol": "coap", "depends_on": ["a"]},
    {"name": "b", "address": "224.0.0.1:1", "protocol": "datagram",
     "calls": [{"name": "c", "method": "GET", "path": "c", "class": "urgent",
                "idempotent": true, "timeout_ms": 10}]},
    {"name": "b", "address": "192.0.2.1:1", "protocol": "datagram"},
    {"name": "d", "address": "192.0.2.1:1", "protocol": "datagram"}
  ]})")
                     .error(),
                 9);
  CheckLocalized(ReadSettings("s", R"({"name": "a", "zone": "", "balancer":
    {"control": [], "inner": "x", "traffic_threads": 0}})",
                              "balancer")
                     .error(),
                 3);
  CheckLocalized(ReadSettings("s", R"({"name": "a", "zone": "z", "balancer":
    {"control": ["192.0.2.1:1", "192.0.2.1:1"], "inner": "x"}})",
                              "balancer")
                     .error(),
                 4);
}

BOOST_AUTO_TEST_CASE(DamageOfADataFolderIsLocalized) {
  for (const std::string_view found : control::kDamageDetails) {
    for (const language wanted : {language::kCs, language::kJa}) {
      const std::string own = LocalizeDetail(found, wanted);
      const std::string way_out =
          LocalizeDetail(control::kDamageRemedy, wanted);
      BOOST_TEST(own != found);
      BOOST_TEST(way_out != control::kDamageRemedy);
      BOOST_TEST(LocalizeDetail(Concat(found, "; ", control::kDamageRemedy),
                                wanted) == Concat(own, "; ", way_out));
    }
  }
}

BOOST_AUTO_TEST_CASE(WhatTheSystemSaysOfAFailedWriteStays) {
  const std::string detail =
      Concat("write: Input/output error; ", control::kDiskContentUnknown);
  for (const language wanted : {language::kCs, language::kJa}) {
    const std::string localized = LocalizeDetail(detail, wanted);
    BOOST_TEST(localized.rfind("write: Input/output error; ", 0) == 0U);
    BOOST_TEST(localized != detail);
  }
}

constexpr char kNotConfirmed[] =
    "not confirmed by a majority in time; ask again with the same submission "
    "id";

BOOST_AUTO_TEST_CASE(WhatControlVmsAndNodesSayIsLocalized) {
  for (const char* detail :
       {"leadership was lost before a majority had it",
        "leadership is being handed over",
        "too much is uncommitted",
        "earlier texts are being checked; ask again in 40 ms",
        "no such command",
        "is missing",
        "this process answers no such request",
        "unreadable request",
        "no answer in time",
        "no connection",
        "stands beside --control",
        "stands beside --wait",
        "this submission id came with another text or base before",
        "in force is version 3 with digest ab",
        "another process uses this data folder",
        "the folder is given up",
        "the folder is an old copy; it was given up",
        "format 2 was written by another release; this one reads format 1",
        "no source of random numbers",
        kNotConfirmed}) {
    for (const language wanted : {language::kCs, language::kJa}) {
      BOOST_TEST(LocalizeDetail(detail, wanted) != detail, detail);
    }
  }
}

}  // namespace
}  // namespace cardamomroute
