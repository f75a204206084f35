#include "cardamomroute/steady_time.h"

#include <time.h>

#include <algorithm>
#include <cstdint>

namespace cardamomroute {

absl::Time SteadyNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return absl::TimeFromTimespec(now);
}

int MillisecondsUntil(absl::Time deadline, absl::Time now, int longest_ms) {
  if (deadline <= now) {
    return 0;
  }
  const absl::Duration left =
      std::min(deadline - now, absl::Milliseconds(longest_ms));
  return static_cast<int>(
      absl::ToInt64Milliseconds(absl::Ceil(left, absl::Milliseconds(1))));
}

}  // namespace cardamomroute
