#include "control/quorum_watch.h"

namespace cardamomroute::control {

bool quorum_watch::IsReportDue(const quorum_margin& margin, absl::Time now) {
  if (reported_spare_ == margin.spare && now < repeat_at_) {
    return false;
  }
  reported_spare_ = margin.spare;
  repeat_at_ =
      margin.spare == 0 ? now + kNoSpareReportInterval : absl::InfiniteFuture();
  return true;
}

void quorum_watch::Reset() {
  reported_spare_.reset();
  repeat_at_ = absl::InfiniteFuture();
}

}  // namespace cardamomroute::control
