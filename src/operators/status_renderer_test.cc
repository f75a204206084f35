#include "operators/status_renderer.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

#include "operators/status_headings.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_CASE(ListsOfObjectsBecomeAlignedTables) {
  const auto status = nlohmann::ordered_json::parse(R"({
    "version": 7,
    "balancers": [],
    "targets": [
      {"service": "příjem", "id": 12, "needs": ["a", "b"]},
      {"service": "x", "id": 3, "state": "draining"}
    ]
  })");
  BOOST_TEST(RenderTables(status) ==
             "version: 7\n"
             "balancers: -\n"
             "\ntargets\n"
             "service  id  needs  state\n"
             "příjem   12  a, b   -\n"
             "x        3   -      draining\n");
}

BOOST_AUTO_TEST_CASE(HeadingsAndMetricsAreInTheWantedLanguage) {
  const auto status = nlohmann::ordered_json::parse(R"({
    "role": "agent",
    "newer": 1,
    "metrics": {"counters": {"packets_in": 5, "pulls": 12}, "gauges": {},
                "latencies": {"commit_time": {"count": 2, "mean_us": 1.5}}},
    "targets": [{"name": "試験", "id": 1}, {"name": "x", "id": 2}]
  })");
  BOOST_TEST(RenderTables(status, language::kCs) ==
             "role: agent\n"
             "newer: 1\n"
             "\nčítače\n"
             "název       hodnota\n"
             "packets_in  5\n"
             "pulls       12\n"
             "\ndoby trvání\n"
             "název        počet  průměr (µs)\n"
             "commit_time  2      1.5\n"
             "\ncíle\n"
             "název  id\n"
             "試験   1\n"
             "x      2\n");
  BOOST_TEST(
      RenderTables(status, language::kJa).find("\n名前  ID\n試験  1\n") !=
      std::string::npos);
}

BOOST_AUTO_TEST_CASE(NoHeadingIsMissingOrTwice) {
  std::set<std::string_view> keys;
  for (const status_heading& row : kStatusHeadings) {
    BOOST_TEST(keys.insert(row.key).second, row.key);
    for (const std::string_view one : row.text) {
      BOOST_TEST(!one.empty(), row.key);
    }
  }
}

}  // namespace
}  // namespace cardamomroute
