#ifndef CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_
#define CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"

namespace cardamomroute {

/// Estimates the run time of requests in the upstream per call kind, from local
/// measurements: smoothed mean and deviation as in RFC 6298, section 2.
class run_time_estimator {
 public:
  /// Ensures that kinds 0 to `kinds` - 1 exist; keeps existing estimates.
  void EnsureKinds(size_t kinds);
  /// Adds a measurement for a kind.
  void Add(size_t kind, absl::Duration measured);
  /// The smoothed mean; zero before the first measurement.
  absl::Duration Mean(size_t kind) const;
  /// Mean plus deviation, which most requests of the kind do not exceed.
  absl::Duration UpperEstimate(size_t kind) const;

 private:
  struct estimate {
    bool has_samples = false;
    absl::Duration mean;
    absl::Duration deviation;
  };

  std::vector<estimate> estimates_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_
