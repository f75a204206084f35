#include "base/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "base/concat.h"

namespace cardamomroute {
namespace {

/// The metric with this name; `metrics` is a map whose nodes never move.
template <class Map>
auto& FindOrMake(Map& metrics, std::string_view name) {
  auto found = metrics.find(name);
  if (found == metrics.end()) {
    found = metrics
                .emplace(std::piecewise_construct,
                         std::forward_as_tuple(std::string(name)),
                         std::forward_as_tuple())
                .first;
  }
  return found->second;
}

template <class Map>
std::map<std::string, uint64_t> Read(const Map& counters) {
  std::map<std::string, uint64_t> values;
  for (const auto& [name, counter] : counters) {
    values[name] = counter.load(std::memory_order_relaxed);
  }
  return values;
}

nlohmann::json ToJson(const latency_summary& summary) {
  return {{"count", summary.count},
          {"mean_us", absl::ToDoubleMicroseconds(summary.mean)},
          {"max_us", absl::ToDoubleMicroseconds(summary.max)},
          {"p50_us", absl::ToDoubleMicroseconds(summary.p50)},
          {"p90_us", absl::ToDoubleMicroseconds(summary.p90)},
          {"p99_us", absl::ToDoubleMicroseconds(summary.p99)}};
}

constexpr double kMicrosecondsASecond = 1e6;

prometheus::MetricFamily Family(std::string name, prometheus::MetricType type,
                                prometheus::ClientMetric value) {
  prometheus::MetricFamily family;
  family.name = std::move(name);
  family.type = type;
  family.metric.push_back(std::move(value));
  return family;
}

prometheus::ClientMetric ToHistogram(const latency_summary& summary) {
  prometheus::ClientMetric value;
  value.histogram.sample_count = summary.count;
  value.histogram.sample_sum =
      absl::ToDoubleSeconds(summary.mean) * static_cast<double>(summary.count);
  for (size_t i = 0; i < kLatencyBoundsUs.size(); ++i) {
    value.histogram.bucket.push_back(
        {summary.at_most.at(i), kLatencyBoundsUs.at(i) / kMicrosecondsASecond});
  }
  return value;
}

}  // namespace

counter_metric& metrics::Counter(std::string_view name) {
  const absl::MutexLock lock(&mutex_);
  return FindOrMake(counters_, name);
}

counter_metric& metrics::Gauge(std::string_view name) {
  const absl::MutexLock lock(&mutex_);
  return FindOrMake(gauges_, name);
}

latency_metric& metrics::Latency(std::string_view name) {
  const absl::MutexLock lock(&mutex_);
  return FindOrMake(latencies_, name);
}

metric_values metrics::Values() const {
  const absl::MutexLock lock(&mutex_);
  metric_values values{Read(counters_), Read(gauges_), {}};
  for (const auto& [name, latency] : latencies_) {
    values.latencies[name] = latency.Summary();
  }
  return values;
}

metric_values SumOf(const std::vector<const metrics*>& parts) {
  metric_values sum;
  for (const metrics* part : parts) {
    const metric_values own = part->Values();
    for (const auto& [name, value] : own.counters) {
      sum.counters[name] += value;
    }
    for (const auto& [name, value] : own.gauges) {
      sum.gauges[name] += value;
    }
    for (const auto& [name, summary] : own.latencies) {
      latency_summary& kept = sum.latencies[name];
      if (summary.count > kept.count) {
        kept = summary;
      }
    }
  }
  return sum;
}

nlohmann::json ToJson(const metric_values& values) {
  nlohmann::json latencies = nlohmann::json::object();
  for (const auto& [name, summary] : values.latencies) {
    latencies[name] = ToJson(summary);
  }
  return {{"counters", nlohmann::json(values.counters)},
          {"gauges", nlohmann::json(values.gauges)},
          {"latencies", std::move(latencies)}};
}

std::string ToText(const metric_values& values, std::string_view prefix) {
  std::vector<prometheus::MetricFamily> families;
  for (const auto& [name, count] : values.counters) {
    prometheus::ClientMetric value;
    value.counter.value = static_cast<double>(count);
    families.push_back(Family(Concat(prefix, name, "_total"),
                              prometheus::MetricType::Counter,
                              std::move(value)));
  }
  for (const auto& [name, state] : values.gauges) {
    prometheus::ClientMetric value;
    value.gauge.value = static_cast<double>(state);
    families.push_back(Family(Concat(prefix, name),
                              prometheus::MetricType::Gauge, std::move(value)));
  }
  for (const auto& [name, summary] : values.latencies) {
    families.push_back(Family(Concat(prefix, name, "_seconds"),
                              prometheus::MetricType::Histogram,
                              ToHistogram(summary)));
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace cardamomroute
