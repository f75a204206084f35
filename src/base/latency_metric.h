#ifndef CARDAMOMROUTE_BASE_LATENCY_METRIC_H_
#define CARDAMOMROUTE_BASE_LATENCY_METRIC_H_

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>

namespace cardamomroute {

/// Upper bounds of the buckets in which latencies are counted, in microseconds:
/// a third of a decade apart, from what a decision takes to a caller's longest
/// patience. Longer ones are in no bucket.
inline constexpr std::array<double, 15> kLatencyBoundsUs = {
    100,   200,    500,    1000,   2000,    5000,    10000,  20000,
    50000, 100000, 200000, 500000, 1000000, 2000000, 5000000};

/// What a latency_metric holds at one moment.
struct latency_summary {
  uint64_t count = 0;
  absl::Duration mean;
  absl::Duration max;
  /// Zero until there are enough samples to estimate quantiles.
  absl::Duration p50;
  absl::Duration p90;
  absl::Duration p99;
  /// How many were at most as long as each of kLatencyBoundsUs.
  std::array<uint64_t, kLatencyBoundsUs.size()> at_most{};
};

/// Distribution of a latency since the process began, in constant memory:
/// quantiles are estimated by the extended P-square algorithm (Raatikainen,
/// "Simultaneous estimation of several percentiles", 1987). May be used from
/// several threads.
class latency_metric {
 public:
  latency_metric();

  void Record(absl::Duration latency);

  latency_summary Summary() const;

 private:
  using statistics = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::mean, boost::accumulators::tag::max,
                  boost::accumulators::tag::extended_p_square>>;

  mutable absl::Mutex mutex_;
  /// In microseconds.
  statistics statistics_ ABSL_GUARDED_BY(mutex_);
  /// How many fell between each bound and the one before it.
  std::array<uint64_t, kLatencyBoundsUs.size()> buckets_
      ABSL_GUARDED_BY(mutex_){};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_LATENCY_METRIC_H_
