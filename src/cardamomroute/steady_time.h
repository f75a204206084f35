#ifndef CARDAMOMROUTE_CARDAMOMROUTE_STEADY_TIME_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_STEADY_TIME_H_

#include "absl/time/time.h"

namespace cardamomroute {

/// Now, on a clock that never goes back and also counts the time for which the
/// machine was suspended. Comparable only within one run of the machine.
absl::Time SteadyNow();

/// Milliseconds from `now` to `deadline`, rounded up, at least 0 and at most
/// `longest_ms`; what poll and epoll_wait take.
int MillisecondsUntil(absl::Time deadline, absl::Time now, int longest_ms);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_STEADY_TIME_H_
