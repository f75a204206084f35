#include "requests/capacity_estimator.h"

#include <algorithm>

namespace cardamomroute {

capacity_estimator::capacity_estimator(uint32_t slots)
    : slots_(std::max(slots, 1U)) {}

void capacity_estimator::OnReport(const upstream_report& report,
                                  uint32_t own_busy, absl::Time asked_at) {
  if (asked_at < asked_at_) {
    return;
  }
  asked_at_ = asked_at;
  fresh_until_ = asked_at + kFreshTime;
  // Requests of ours are measured here; only what others run counts.
  const uint32_t foreign = report.busy - std::min(report.busy, own_busy);
  const double free = report.healthy ? report.slots - foreign : 0;
  share_ = std::clamp(free / slots_, kLeastShare, 1.0);
}

double capacity_estimator::Share(absl::Time now) const {
  return now < fresh_until_ ? share_ : 1;
}

}  // namespace cardamomroute
