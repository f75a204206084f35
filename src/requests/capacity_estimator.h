#ifndef CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_
#define CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_

#include <cstdint>

#include "absl/time/time.h"
#include "requests/upstream_report.h"

namespace cardamomroute {

/// Decides what reports of an upstream change: the share of its slots that
/// new flows may count on. Reports lag and mislead, so they only lower it,
/// never below kLeastShare, and only while they are fresh; what the agent
/// measures on its own traffic stands above them.
class capacity_estimator {
 public:
  static constexpr double kLeastShare = 0.25;
  /// From the question to the end of its answer's effect.
  static constexpr absl::Duration kFreshTime = absl::Seconds(5);

  /// `slots` as the settings of the agent say; at least 1.
  explicit capacity_estimator(uint32_t slots);

  /// The answer to the question asked at `asked_at`, while up to `own_busy`
  /// requests of ours ran. Of two the one that was asked for later stands,
  /// whatever the order in which they come.
  void OnReport(const upstream_report& report, uint32_t own_busy,
                absl::Time asked_at);

  /// kLeastShare to 1; 1 when nothing was reported lately.
  double Share(absl::Time now) const;

 private:
  uint32_t slots_;
  double share_ = 1;
  absl::Time asked_at_ = absl::InfinitePast();
  absl::Time fresh_until_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_
