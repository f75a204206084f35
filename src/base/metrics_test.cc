#include "base/metrics.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

namespace cardamomroute {
namespace {

RC_BOOST_PROP(QuantilesOfAnyOrderComeNearTheExactOnes, (uint32_t seed)) {
  constexpr int kSamples = 2000;
  std::mt19937 random(seed);
  std::vector<double> samples(kSamples);
  // Latencies have a long tail.
  std::generate(samples.begin(), samples.end(), [&] {
    return 100 + 100 * std::exponential_distribution<double>(1.0)(random);
  });
  metrics registry;
  latency_metric& latency = registry.Latency("run");
  for (const double sample : samples) {
    latency.Record(absl::Microseconds(sample));
  }
  std::sort(samples.begin(), samples.end());
  const auto json = registry.ToJson()["latencies"]["run"];
  RC_ASSERT(json["count"] == kSamples);
  const auto near = [&](const char* key, double probability) {
    const double exact = samples[static_cast<size_t>(probability * kSamples)];
    return std::abs(json[key].get<double>() - exact) < 0.15 * exact;
  };
  RC_ASSERT(near("p50_us", 0.5));
  RC_ASSERT(near("p90_us", 0.9));
  RC_ASSERT(near("p99_us", 0.99));
  RC_ASSERT(std::abs(json["max_us"].get<double>() - samples.back()) < 0.01);
}

BOOST_AUTO_TEST_CASE(FewSamplesHaveNoQuantiles) {
  metrics registry;
  registry.Latency("none");
  registry.Latency("few").Record(absl::Milliseconds(2));
  registry.Counter("sent") += 3;
  BOOST_TEST(&registry.Counter("sent") == &registry.Counter("sent"));
  const auto json = registry.ToJson();
  BOOST_TEST(json["counters"]["sent"] == 3);
  BOOST_TEST(json["latencies"]["none"]["count"] == 0);
  BOOST_TEST(json["latencies"]["few"]["mean_us"] == 2000.0);
  BOOST_TEST(json["latencies"]["few"]["p99_us"] == 0.0);
}

}  // namespace
}  // namespace cardamomroute
