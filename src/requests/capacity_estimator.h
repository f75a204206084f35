#ifndef CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_
#define CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_

#include <cstdint>

#include "absl/time/time.h"
#include "requests/upstream_report.h"

namespace cardamomroute {

/// Estimates from an upstream's reports the share of its slots available to
/// new flows. Reports can be delayed or wrong, so they can only lower the
/// share, never below kMinShare, and only until they expire. The agent's own
/// measurements take precedence.
class capacity_estimator {
 public:
  static constexpr double kMinShare = 0.25;
  /// How long a report applies, counted from the poll that it answers.
  static constexpr absl::Duration kReportLifetime = absl::Seconds(5);

  /// `slots` is the value configured for the agent; 0 counts as 1.
  explicit capacity_estimator(uint32_t slots);

  /// Applies the report that answers the poll sent at `asked_at`. `own_busy` is
  /// the maximum number of the agent's own requests running meanwhile. Ignores
  /// a report whose poll was sent before that of the current one.
  void OnReport(const upstream_report& report, uint32_t own_busy,
                absl::Time asked_at);

  /// kMinShare to 1; 1 if there is no unexpired report.
  double Share(absl::Time now) const;

 private:
  uint32_t slots_;
  double share_ = 1;
  absl::Time asked_at_ = absl::InfinitePast();
  absl::Time expires_at_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CAPACITY_ESTIMATOR_H_
