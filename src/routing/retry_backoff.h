#ifndef CARDAMOMROUTE_ROUTING_RETRY_BACKOFF_H_
#define CARDAMOMROUTE_ROUTING_RETRY_BACKOFF_H_

#include <algorithm>
#include <cstdint>

#include "absl/time/time.h"

namespace cardamomroute {

/// Wait before the first retry of a message between targets.
inline constexpr absl::Duration kFirstRetryWait = absl::Milliseconds(20);

/// When to send again after `attempts` sendings: the wait doubles each time,
/// up to 32 times the first one.
inline absl::Time RetryAt(absl::Time now, uint32_t attempts) {
  constexpr uint32_t kMaxDoublings = 5;
  return now + kFirstRetryWait * (1 << std::min(attempts, kMaxDoublings));
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_RETRY_BACKOFF_H_
