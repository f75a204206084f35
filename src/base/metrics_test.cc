#include "base/metrics.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
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
  const auto json = ToJson(registry.Values())["latencies"]["run"];
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
  const auto json = ToJson(registry.Values());
  BOOST_TEST(json["counters"]["sent"] == 3);
  BOOST_TEST(json["latencies"]["none"]["count"] == 0);
  BOOST_TEST(json["latencies"]["few"]["mean_us"] == 2000.0);
  BOOST_TEST(json["latencies"]["few"]["p99_us"] == 0.0);
}

BOOST_AUTO_TEST_CASE(TextHasEachMetricOnce) {
  metrics registry;
  registry.Counter("sent") += 3;
  registry.Gauge("open") = 2;
  latency_metric& run = registry.Latency("run");
  run.Record(absl::Milliseconds(1));
  run.Record(absl::Milliseconds(30));
  run.Record(absl::Seconds(60));
  const std::string text = ToText(registry.Values(), "test_");
  for (const char* line :
       {"# TYPE test_sent_total counter\ntest_sent_total 3\n",
        "# TYPE test_open gauge\ntest_open 2\n",
        "# TYPE test_run_seconds histogram\ntest_run_seconds_count 3\n",
        "test_run_seconds_bucket{le=\"0.0005\"} 0\n",
        "test_run_seconds_bucket{le=\"0.001\"} 1\n",
        "test_run_seconds_bucket{le=\"0.05\"} 2\n",
        "test_run_seconds_bucket{le=\"5\"} 2\n",
        "test_run_seconds_bucket{le=\"+Inf\"} 3\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line << " in\n" << text);
  }
}

BOOST_AUTO_TEST_CASE(ASumHasTheLatencyThatWasRecordedMost) {
  metrics idle;
  metrics busy;
  for (metrics* part : {&idle, &busy}) {
    part->Counter("sent") += 2;
    part->Latency("run");
  }
  busy.Latency("run").Record(absl::Milliseconds(1));
  const metric_values sum = SumOf({&idle, &busy});
  BOOST_TEST(sum.counters.at("sent") == 4U);
  BOOST_TEST(sum.latencies.at("run").count == 1U);
}

}  // namespace
}  // namespace cardamomroute
