#include "requests/retry_after_schedule.h"

#include <algorithm>
#include <cmath>

namespace cardamomroute {
namespace {

// Share of the delay that is drawn at random.
constexpr double kSpread = 0.5;
// Least time over which callers are spread.
constexpr absl::Duration kLeastSpread = absl::Seconds(2);
// Work promised further ahead than this is not kept in mind.
constexpr absl::Duration kHorizon = absl::Seconds(60);
constexpr absl::Duration kShortestLimit = absl::Seconds(3);

}  // namespace

uint32_t retry_after_schedule::NextMaxAge(absl::Time clear_at,
                                          absl::Duration run,
                                          absl::Duration longest,
                                          absl::Time now) {
  const absl::Duration limit = std::max(longest, kShortestLimit);
  next_ = std::max({next_, clear_at, now}) + run;
  // So that the spread stays within the limit.
  const absl::Duration delay = std::min(next_ - now, limit / (1 + kSpread));
  next_ = std::min(next_, now + kHorizon);
  const absl::Duration range = std::max(delay * kSpread, kLeastSpread);
  std::uniform_real_distribution<double> unit(0.0, 1.0);
  const double seconds =
      absl::ToDoubleSeconds(delay + range * unit(random_)) + unit(random_);
  return static_cast<uint32_t>(
      std::clamp(std::floor(seconds), 1.0, absl::ToDoubleSeconds(limit)));
}

}  // namespace cardamomroute
