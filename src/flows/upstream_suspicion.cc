#include "flows/upstream_suspicion.h"

#include <algorithm>

namespace cardamomroute {

void upstream_suspicion::OnDelivered(absl::Time now) {
  unanswered_since_ = std::min(unanswered_since_, now);
}

void upstream_suspicion::OnHeard() {
  unanswered_since_ = absl::InfiniteFuture();
}

absl::Time upstream_suspicion::NextDeadline() const {
  return std::max(unanswered_since_ + kSilenceBeforeCheck, next_check_);
}

bool upstream_suspicion::TakeDue(absl::Time now) {
  if (now < NextDeadline()) {
    return false;
  }
  next_check_ = now + kCheckInterval;
  return true;
}

}  // namespace cardamomroute
