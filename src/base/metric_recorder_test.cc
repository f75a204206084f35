#include "base/metric_recorder.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace cardamomroute {
namespace {

constexpr std::array<std::string_view, 3> kRoles = {"control", "balancer",
                                                    "agent"};
constexpr std::array<std::string_view, 3> kKinds = {"counter", "gauge",
                                                    "latency"};

BOOST_AUTO_TEST_CASE(EachNameStandsOnceInARole) {
  std::set<std::pair<process_role, std::string_view>> names;
  for (const metric_row& row : kMetricTable) {
    BOOST_TEST(!row.name.empty());
    BOOST_TEST(names.emplace(row.role, row.name).second, row.name);
  }
}

BOOST_AUTO_TEST_CASE(ThePageForOperatorsListsTheTable) {
  std::ifstream page(CARDAMOMROUTE_ROOT "/docs/OPERATING.md");
  std::stringstream all;
  all << page.rdbuf();
  for (const metric_row& row : kMetricTable) {
    std::stringstream wanted;
    wanted << "| " << kRoles.at(static_cast<size_t>(row.role)) << " | `"
           << row.name << "` | " << kKinds.at(static_cast<size_t>(row.kind))
           << " | ";
    BOOST_TEST(all.str().find(wanted.str()) != std::string::npos, wanted.str());
  }
  size_t listed = 0;
  std::string line;
  while (std::getline(all, line)) {
    listed += std::any_of(kKinds.begin(), kKinds.end(), [&](auto kind) {
      return line.find("` | " + std::string(kind) + " | ") != line.npos;
    });
  }
  BOOST_TEST(listed == kMetricCount);
}

RC_BOOST_PROP(SumsOfThreadsAreExact, (const std::vector<uint8_t>& counts)) {
  metric_recorder first(process_role::kBalancer);
  metric_recorder second(process_role::kBalancer);
  uint64_t expected = 0;
  for (const uint8_t count : counts) {
    expected += count;
  }
  const auto record = [&counts](metric_recorder* own) {
    for (const uint8_t count : counts) {
      own->Add(metric::kPacketsIn, count);
    }
  };
  std::thread other([&] { record(&second); });
  record(&first);
  const auto early = ToJson(SumOf({&first.registry(), &second.registry()}));
  RC_ASSERT(early["counters"]["packets_in"].get<uint64_t>() >= expected);
  other.join();
  const auto sum = ToJson(SumOf({&first.registry(), &second.registry()}));
  RC_ASSERT(sum["counters"]["packets_in"] == 2 * expected);
  RC_ASSERT(sum["counters"]["packets_dropped"] == 0);
}

BOOST_AUTO_TEST_CASE(GaugesAndLatenciesAreShown) {
  metric_recorder own(process_role::kAgent);
  own.Set(metric::kSlotsInUse, 3);
  own.Set(metric::kSlotsInUse, 2);
  own.Record(metric::kTimeInQueue, absl::Milliseconds(4));
  const auto json = ToJson(SumOf({&own.registry()}));
  BOOST_TEST(json["gauges"]["slots_in_use"] == 2);
  BOOST_TEST(json["latencies"]["time_in_queue"]["mean_us"] == 4000.0);
  BOOST_TEST(!json["counters"].contains("pulls"));
}

}  // namespace
}  // namespace cardamomroute
