#ifndef CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_
#define CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace cardamomroute {

/// Tells callers whose requests were not run when to come back. Each gets a
/// place behind the work that waits and behind those who were told before, so
/// that they return at the rate at which the upstream works.
class retry_after_schedule {
 public:
  explicit retry_after_schedule(uint64_t seed) : random_(seed) {}

  /// Max-Age in seconds for a caller told at `now`, 1 to `longest`, but 3 at
  /// least. `clear_at` is when the present backlog will be done, `run` how long
  /// its request would keep the upstream from other work. A caller that is told
  /// to wait long past the time at which its request is of use does not return,
  /// and leaves slots unused: `longest` limits that.
  uint32_t NextMaxAge(absl::Time clear_at, absl::Duration run,
                      absl::Duration longest, absl::Time now);

 private:
  std::mt19937_64 random_;
  absl::Time next_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_
