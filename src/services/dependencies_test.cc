#include "services/dependencies.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "services/service_text.h"
#include "services/services_test_support.h"

namespace cardamomroute {
namespace {

constexpr size_t kAll = 1000;

/// True when `from` depends on `to`, directly or not, by plain recursion.
bool Needs(const services_text& text, const std::string& from,
           const std::string& to) {
  const std::vector<std::string>& direct = text.Find(from)->depends_on;
  return std::any_of(direct.begin(), direct.end(), [&](const auto& name) {
    return name == to || Needs(text, name, to);
  });
}

RC_BOOST_PROP(ImpactIsWhoeverNeedsTheMissingService, (uint32_t seed)) {
  const services_text text =
      ParseServices("t", WriteFreely(AnyServices(), seed)).value();
  for (const service_text& missing : text.services) {
    std::vector<std::string> expected;
    for (const service_text& other : text.services) {
      if (Needs(text, other.name, missing.name)) {
        expected.push_back(other.name);
      }
    }
    RC_ASSERT(Impact(text, missing.name) == expected);
  }
  RC_ASSERT(Impact(text, "nobody").empty());
}

RC_BOOST_PROP(UrgencyIsThatOfTheMostUrgentWhoNeedsIt, (uint32_t seed)) {
  const services_text text =
      ParseServices("t", WriteFreely(AnyServices(), seed)).value();
  for (const service_text& service : text.services) {
    text_urgency carried = text_urgency::kOrdinary;
    for (const service_text& other : text.services) {
      for (const call_text& call : other.calls) {
        if (Needs(text, other.name, service.name)) {
          carried = std::min(carried, call.urgency);
        }
      }
    }
    for (const call_text& call : service.calls) {
      RC_ASSERT(call.carried_urgency == std::min(call.urgency, carried));
    }
  }
}

RC_BOOST_PROP(CutAtEachFoundDependencyNoCycleIsLeft, ()) {
  const auto size = *rc::gen::inRange<size_t>(1, 8);
  dependency_lists graph(size);
  for (std::vector<size_t>& list : graph) {
    for (size_t needed = 0; needed < size; ++needed) {
      if (*rc::gen::inRange(0, 3) == 0) {
        list.push_back(needed);
      }
    }
  }
  for (const dependency_cycle& cycle : FindCycles(graph, kAll)) {
    for (size_t i = 0; i < cycle.services.size(); ++i) {
      const size_t next = cycle.services[(i + 1) % cycle.services.size()];
      const std::vector<size_t>& list = graph[cycle.services[i]];
      RC_ASSERT(std::count(list.begin(), list.end(), next) == 1);
    }
  }
  dependency_lists cut = graph;
  for (const dependency_cycle& cycle : FindCycles(graph, kAll)) {
    std::vector<size_t>& list = cut[cycle.last];
    list.erase(std::find(list.begin(), list.end(), cycle.services.front()));
  }
  RC_ASSERT(FindCycles(cut, kAll).empty());
}

BOOST_AUTO_TEST_CASE(SelfAndLoopAreNamedInOrder) {
  const dependency_lists graph = {{1}, {2}, {0, 2}};
  const auto cycles = FindCycles(graph, kAll);
  BOOST_REQUIRE(cycles.size() == 2U);
  const std::vector<size_t> loop = {0, 1, 2};
  const std::vector<size_t> self = {2};
  BOOST_TEST(cycles[0].services == loop);
  BOOST_TEST(cycles[1].services == self);
}

}  // namespace
}  // namespace cardamomroute
