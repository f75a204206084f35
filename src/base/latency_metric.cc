#include "base/latency_metric.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace cardamomroute {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kProbabilities = {0.5, 0.9, 0.99};

/// Markers of the extended P-square algorithm; below this many samples its
/// estimates mean nothing.
constexpr uint64_t kMarkers = 2 * kProbabilities.size() + 3;

}  // namespace

latency_metric::latency_metric()
    : statistics_(acc::extended_p_square_probabilities = kProbabilities) {}

void latency_metric::Record(absl::Duration latency) {
  const double microseconds = absl::ToDoubleMicroseconds(latency);
  const auto bound = std::lower_bound(kLatencyBoundsUs.begin(),
                                      kLatencyBoundsUs.end(), microseconds);
  const absl::MutexLock lock(&mutex_);
  statistics_(microseconds);
  if (bound != kLatencyBoundsUs.end()) {
    ++buckets_.at(static_cast<size_t>(bound - kLatencyBoundsUs.begin()));
  }
}

latency_summary latency_metric::Summary() const {
  const absl::MutexLock lock(&mutex_);
  latency_summary summary;
  summary.count = acc::count(statistics_);
  if (summary.count == 0) {
    return summary;
  }
  std::partial_sum(buckets_.begin(), buckets_.end(), summary.at_most.begin());
  summary.mean = absl::Microseconds(acc::mean(statistics_));
  summary.max = absl::Microseconds(acc::max(statistics_));
  if (summary.count >= kMarkers) {
    const auto quantiles = acc::extended_p_square(statistics_);
    summary.p50 = absl::Microseconds(quantiles[0]);
    summary.p90 = absl::Microseconds(quantiles[1]);
    summary.p99 = absl::Microseconds(quantiles[2]);
  }
  return summary;
}

}  // namespace cardamomroute
