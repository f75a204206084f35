#include "services/service_text.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "base/fault_list.h"
#include "services/services_test_support.h"

namespace cardamomroute {
namespace {

std::vector<error> FaultsOf(std::string_view text) {
  const auto parsed = ParseServices("t", text);
  return parsed.has_error() ? parsed.error() : std::vector<error>{};
}

std::string DigestOfText(std::string_view text) {
  return DigestOf(CanonicalForm(ParseServices("t", text).value()));
}

RC_BOOST_PROP(HabitsOfEditorsChangeNoDigest, (uint32_t one, uint32_t other)) {
  const services_text text = AnyServices();
  RC_ASSERT(DigestOfText(WriteFreely(text, one)) ==
            DigestOfText(WriteFreely(text, other)));
}

RC_BOOST_PROP(AnotherMeaningHasAnotherDigest, (uint32_t one, uint32_t other)) {
  const services_text text = AnyServices();
  services_text changed = text;
  ChangeMeaning(changed);
  RC_ASSERT(DigestOfText(WriteFreely(text, one)) !=
            DigestOfText(WriteFreely(changed, other)));
}

RC_BOOST_PROP(CanonicalFormIsAFixedPoint, (uint32_t seed)) {
  const services_text text =
      ParseServices("t", WriteFreely(AnyServices(), seed)).value();
  const std::string canonical = CanonicalForm(text);
  RC_ASSERT(CanonicalForm(ParseServices("t", canonical).value()) == canonical);
}

RC_BOOST_PROP(MutatedTextsNeverCrashAndFaultsHavePlaces, (uint32_t seed)) {
  std::string text = WriteFreely(AnyServices(), seed);
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    const auto at = *rc::gen::inRange<size_t>(0, text.size());
    const auto length = *rc::gen::inRange<size_t>(0, 8);
    text.replace(at, length, *rc::gen::arbitrary<std::string>());
  }
  for (const error& fault : FaultsOf(text)) {
    RC_ASSERT(std::count(fault.place.begin(), fault.place.end(), ':') == 2);
    RC_ASSERT(!fault.detail.empty());
  }
}

RC_BOOST_PROP(RandomBytesAreRefusedWithAPlace, (const std::string& bytes)) {
  const std::vector<error> faults = FaultsOf(bytes);
  RC_ASSERT(faults.size() >= 1U);
  RC_ASSERT(faults[0].place.rfind("t:", 0) == 0U);
}

BOOST_AUTO_TEST_CASE(DigestIsThePublishedBlake2bOf32Bytes) {
  BOOST_TEST(DigestOf("") ==
             "0e5751c026e543b2e8ab2eb06099daa1"
             "d1e5df47778f7787faab45cdf12fe3a8");
}

BOOST_AUTO_TEST_CASE(EveryFaultOfTheMeaningAtOnceWithItsPlace) {
  const std::vector<error> faults = FaultsOf(R"({"services": [
{"name": "a", "address": "192.0.2.1:1", "protocol": "datagram",
 "depends_on": ["b", "nobody", "b"]},
{"name": "b", "address": "192.0.2.1:1", "protocol": "datagram",
 "depends_on": ["c"]},
{"name": "c", "address": "224.0.0.1:1", "protocol": "coap",
 "depends_on": ["a", "c"]},
{"name": "a", "address": "host:1", "protocol": "coap", "calls": [
 {"name": "ok", "method": "GET", "path": "/a/../b", "class": "urgent",
  "idempotent": true, "timeout_ms": 10},
 {"name": "ok", "method": "GET", "path": "/a/../b", "class": "urgent",
  "idempotent": true, "timeout_ms": 10}]},
{"name": " e\u0007", "address": "192.0.2.1:5", "protocol": "datagram"}
]})");
  std::vector<std::string> seen;
  seen.reserve(faults.size());
  for (const error& fault : faults) {
    seen.push_back(std::string(CodeOf(fault.kind)) + " " + fault.place);
  }
  const std::vector<std::string> expected = {
      "unknown-dependency t:3:22", "duplicate-name t:3:32",
      "duplicate-address t:4:26",  "value-out-of-range t:6:1",
      "value-out-of-range t:6:26", "dependency-cycle t:7:17",
      "dependency-cycle t:7:22",   "duplicate-name t:8:10",
      "value-out-of-range t:8:26", "value-out-of-range t:9:42",
      "duplicate-name t:11:11",    "value-out-of-range t:11:42",
      "duplicate-name t:11:42",    "value-out-of-range t:13:10"};
  BOOST_TEST(seen == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(FaultsOfTheSchemaNameEachField) {
  const std::vector<error> faults = FaultsOf(
      R"({"services": [{"name": 1, "adress": "x", "protocol": "tcp"}, 7]})");
  std::vector<std::string> places;
  for (const error& fault : faults) {
    BOOST_TEST((fault.kind == error_kind::kSchemaViolation));
    places.push_back(fault.place);
  }
  const std::vector<std::string> expected = {"t:1:15", "t:1:24", "t:1:37",
                                             "t:1:54", "t:1:62"};
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

/// One service after another, each depending on the one before it.
std::string Chain(int size, bool closed) {
  std::string text = "{\"services\": [";
  for (int i = 0; i < size; ++i) {
    const int needed = i == 0 ? size - 1 : i - 1;
    text += std::string(i == 0 ? "" : ",\n") + R"({"name": "s)" +
            std::to_string(i) + R"(", "address": "[2001:db8::)" +
            std::to_string(i % 10000) + "]:" + std::to_string(1 + i / 10000) +
            R"(", "protocol": "coap", "calls": [{"name": "c",)" +
            R"("method": "POST", "path": "/p", "class": "ordinary",)" +
            R"("idempotent": false, "timeout_ms": 1000}])" +
            (i == 0 && !closed
                 ? std::string()
                 : R"(, "depends_on": ["s)" + std::to_string(needed) + "\"]") +
            "}";
  }
  return text + "]}";
}

BOOST_AUTO_TEST_CASE(TwelveThousandServicesInOneChain) {
  BOOST_TEST(ParseServices("t", Chain(12000, false)).value().services.size() ==
             12000U);
  const std::vector<error> faults = FaultsOf(Chain(12000, true));
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST((faults[0].kind == error_kind::kDependencyCycle));
  BOOST_TEST(faults[0].detail.find("(11984 more)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(FaultsWithoutEndAreAnsweredInBounds) {
  // Each service depends on the next one and on 200 of those before it.
  std::string cycles = "{\"services\": [";
  for (int i = 0; i < 2000; ++i) {
    const std::string number = std::to_string(i);
    cycles += std::string(i == 0 ? "" : ",") + R"({"name": "s)" + number +
              R"(", "address": "192.0.2.1:)" + std::to_string(i + 1) +
              R"(", "protocol": "datagram", "depends_on": ["s)" +
              std::to_string((i + 1) % 2000) + "\"";
    for (int j = std::max(0, i - 200); j < i; ++j) {
      cycles += ",\"s" + std::to_string(j) + "\"";
    }
    cycles += "]}";
  }
  BOOST_TEST(FaultsOf(cycles + "]}").size() == kMaxFaults);

  std::string unknown = "{\"services\": []";
  std::string doubled = unknown;
  std::string empty = "{\"services\": [{}";
  std::string many = empty;
  for (int i = 0; i < 20000; ++i) {
    unknown += ",\"k" + std::to_string(i) + "\":1";
    doubled += ",\"services\":1";
    empty += i == 0 ? "" : ",{}";
    many += ",{}";
  }
  BOOST_TEST(FaultsOf(unknown + "}").size() == kMaxFaults);
  BOOST_TEST(FaultsOf(doubled + "}").size() == kMaxFaults);
  BOOST_TEST(FaultsOf(empty + "]}").size() == kMaxFaults);
  BOOST_TEST(FaultsOf(many + "]}").size() == 1U);
}

}  // namespace
}  // namespace cardamomroute
