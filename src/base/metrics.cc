#include "base/metrics.h"

#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

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
nlohmann::json ValuesOf(const Map& counters) {
  nlohmann::json values = nlohmann::json::object();
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

nlohmann::json metrics::ToJson() const {
  const absl::MutexLock lock(&mutex_);
  nlohmann::json latencies = nlohmann::json::object();
  for (const auto& [name, latency] : latencies_) {
    latencies[name] = cardamomroute::ToJson(latency.Summary());
  }
  return {{"counters", ValuesOf(counters_)},
          {"gauges", ValuesOf(gauges_)},
          {"latencies", std::move(latencies)}};
}

nlohmann::json SumOf(const std::vector<const metrics*>& parts) {
  nlohmann::json sum = metrics().ToJson();
  for (const metrics* part : parts) {
    const nlohmann::json own = part->ToJson();
    for (const char* kind : {"counters", "gauges"}) {
      for (const auto& item : own[kind].items()) {
        sum[kind][item.key()] = sum[kind].value(item.key(), uint64_t{0}) +
                                item.value().get<uint64_t>();
      }
    }
    for (const auto& item : own["latencies"].items()) {
      sum["latencies"].emplace(item.key(), item.value());
    }
  }
  return sum;
}

}  // namespace cardamomroute
