#include "base/latency_metric.h"

#include <array>

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
  const absl::MutexLock lock(&mutex_);
  statistics_(absl::ToDoubleMicroseconds(latency));
}

latency_summary latency_metric::Summary() const {
  const absl::MutexLock lock(&mutex_);
  latency_summary summary;
  summary.count = acc::count(statistics_);
  if (summary.count == 0) {
    return summary;
  }
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
