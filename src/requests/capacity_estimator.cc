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
  expires_at_ = asked_at + kReportLifetime;
  // The agent measures its own requests; only those of others reduce the share.
  const uint32_t others_busy = report.busy - std::min(report.busy, own_busy);
  const double free_slots = report.healthy ? report.slots - others_busy : 0;
  share_ = std::clamp(free_slots / slots_, kMinShare, 1.0);
}

double capacity_estimator::Share(absl::Time now) const {
  return now < expires_at_ ? share_ : 1;
}

}  // namespace cardamomroute
