#ifndef CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_
#define CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace cardamomroute {

/// Computes when callers whose requests were rejected should retry. Each caller
/// is scheduled after the queued work and after the callers rejected before it,
/// so that retries arrive at the rate at which the upstream works.
class retry_after_schedule {
 public:
  explicit retry_after_schedule(uint64_t seed) : random_(seed) {}

  /// Returns the Max-Age in seconds for a caller rejected at `now`: from 1 to
  /// the greater of `longest` and 3 s. `clear_at` is when the current backlog
  /// will be done, `run` how long the request would occupy the upstream.
  /// `longest` bounds the delay, because a caller that is told to wait long
  /// past its request's useful time does not retry and leaves slots unused.
  uint32_t NextMaxAge(absl::Time clear_at, absl::Duration run,
                      absl::Duration longest, absl::Time now);

 private:
  std::mt19937_64 random_;
  absl::Time next_retry_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RETRY_AFTER_SCHEDULE_H_
