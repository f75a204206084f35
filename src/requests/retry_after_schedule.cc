#include "requests/retry_after_schedule.h"

#include <algorithm>
#include <cmath>

namespace cardamomroute {
namespace {

// Maximum random addition to the delay, as a fraction of it.
constexpr double kJitterFraction = 0.5;
// Minimum range of the random addition.
constexpr absl::Duration kMinJitter = absl::Seconds(2);
// Limits how far ahead retries are scheduled.
constexpr absl::Duration kMaxLookahead = absl::Seconds(60);
constexpr absl::Duration kMinLimit = absl::Seconds(3);

}  // namespace

uint32_t retry_after_schedule::NextMaxAge(absl::Time clear_at,
                                          absl::Duration run,
                                          absl::Duration longest,
                                          absl::Time now) {
  const absl::Duration limit = std::max(longest, kMinLimit);
  next_retry_ = std::max({next_retry_, clear_at, now}) + run;
  // Keeps the delay plus the random addition within the limit.
  const absl::Duration delay =
      std::min(next_retry_ - now, limit / (1 + kJitterFraction));
  next_retry_ = std::min(next_retry_, now + kMaxLookahead);
  const absl::Duration jitter = std::max(delay * kJitterFraction, kMinJitter);
  std::uniform_real_distribution<double> uniform(0.0, 1.0);
  const double seconds =
      absl::ToDoubleSeconds(delay + jitter * uniform(random_)) +
      uniform(random_);
  return static_cast<uint32_t>(
      std::clamp(std::floor(seconds), 1.0, absl::ToDoubleSeconds(limit)));
}

}  // namespace cardamomroute
