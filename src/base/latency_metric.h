#ifndef CARDAMOMROUTE_BASE_LATENCY_METRIC_H_
#define CARDAMOMROUTE_BASE_LATENCY_METRIC_H_

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>

namespace cardamomroute {

/// What a latency_metric holds at one moment.
struct latency_summary {
  uint64_t count = 0;
  absl::Duration mean;
  absl::Duration max;
  /// Zero until there are enough samples to estimate quantiles.
  absl::Duration p50;
  absl::Duration p90;
  absl::Duration p99;
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
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_LATENCY_METRIC_H_
