#ifndef CARDAMOMROUTE_BASE_METRIC_RECORDER_H_
#define CARDAMOMROUTE_BASE_METRIC_RECORDER_H_

#include <absl/time/time.h>

#include <array>
#include <cstdint>

#include "base/metric_table.h"
#include "base/metrics.h"

namespace cardamomroute {

/// What one thread measures. Only this thread records; any thread may read,
/// so that recording takes no lock and no atomic read-modify-write, but for
/// latencies.
class metric_recorder {
 public:
  /// Has every metric of the role, beginning at 0.
  explicit metric_recorder(process_role role);

  /// `counted` is a counter of the role.
  void Add(metric counted, uint64_t times = 1) {
    counter_metric& value = *values_[static_cast<size_t>(counted)];
    value.store(value.load(std::memory_order_relaxed) + times,
                std::memory_order_relaxed);
  }

  /// `present` is a gauge of the role.
  void Set(metric present, uint64_t value) {
    values_[static_cast<size_t>(present)]->store(value,
                                                 std::memory_order_relaxed);
  }

  /// `timed` is a latency of the role; takes a lock.
  void Record(metric timed, absl::Duration duration) {
    latencies_[static_cast<size_t>(timed)]->Record(duration);
  }

  const metrics& registry() const { return registry_; }

 private:
  metrics registry_;
  std::array<counter_metric*, kMetricCount> values_{};
  std::array<latency_metric*, kMetricCount> latencies_{};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_METRIC_RECORDER_H_
