#ifndef CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_
#define CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_

#include <cstddef>
#include <vector>

#include "absl/time/time.h"

namespace cardamomroute {

/// Running times of requests in the upstream, for each kind of call, as
/// measured here: smoothed mean and deviation after RFC 6298, section 2.
class run_time_estimator {
 public:
  /// Makes room for kinds 0 to `kinds` - 1; what is known stays.
  void EnsureKinds(size_t kinds);
  void Add(size_t kind, absl::Duration measured);
  /// The mean; zero where nothing was measured yet.
  absl::Duration Mean(size_t kind) const;
  /// A time that most requests of the kind keep: mean plus deviation.
  absl::Duration UpperEstimate(size_t kind) const;

 private:
  struct sample {
    bool known = false;
    absl::Duration mean;
    absl::Duration deviation;
  };

  std::vector<sample> samples_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RUN_TIME_ESTIMATOR_H_
