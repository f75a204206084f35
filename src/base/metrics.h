#ifndef CARDAMOMROUTE_BASE_METRICS_H_
#define CARDAMOMROUTE_BASE_METRICS_H_

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/latency_metric.h"

namespace cardamomroute {

/// A number of events since the process began, or a present state; may be read
/// from any thread.
using counter_metric = std::atomic<uint64_t>;

/// What metrics hold at one moment, by name.
struct metric_values {
  std::map<std::string, uint64_t> counters;
  std::map<std::string, uint64_t> gauges;
  std::map<std::string, latency_summary> latencies;
};

/// The metrics of one process by name. References that it gives stay good as
/// long as it lives, so that a thread looks a metric up once and then uses it
/// without a lock of the registry.
class metrics {
 public:
  /// The counter with this name, made at the first call.
  counter_metric& Counter(std::string_view name);

  /// The present state with this name, made at the first call.
  counter_metric& Gauge(std::string_view name);

  /// The latency with this name, made at the first call.
  latency_metric& Latency(std::string_view name);

  metric_values Values() const;

 private:
  mutable absl::Mutex mutex_;
  std::map<std::string, counter_metric, std::less<>> counters_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, counter_metric, std::less<>> gauges_
      ABSL_GUARDED_BY(mutex_);
  std::map<std::string, latency_metric, std::less<>> latencies_
      ABSL_GUARDED_BY(mutex_);
};

/// Sums of counters and gauges. A latency is that of the part that has recorded
/// most of it.
metric_values SumOf(const std::vector<const metrics*>& parts);

/// {"counters": {NAME: N}, "gauges": {NAME: N}, "latencies": {NAME:
/// {"count", "mean_us", "max_us", "p50_us", "p90_us", "p99_us"}}}.
nlohmann::json ToJson(const metric_values& values);

/// In the text exposition format of Prometheus, each name with `prefix` before
/// it; latencies as histograms in seconds.
std::string ToText(const metric_values& values, std::string_view prefix);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_METRICS_H_
