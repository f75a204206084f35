#ifndef CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_
#define CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// Where a request is between its arrival and its final answer.
enum class request_state : uint8_t {
  /// Waits for a slot; never reached the upstream.
  kQueued,
  /// The upstream shed it; waits before the next attempt.
  kWaitingToRetry,
  /// Sent to the upstream.
  kRunning,
  /// Repeats a request that runs; waits for that one's answer.
  kAttached,
};

/// One request of a caller.
struct caller_request {
  uint64_t id = 0;
  flow_key flow;
  coap_message message;
  /// Index of its kind of call.
  size_t kind = 0;
  request_state state = request_state::kQueued;
  absl::Time deadline;
  absl::Time started_at;
  /// The Echo value that admitted it, empty for idempotent requests.
  std::string echo;
  /// The empty acknowledgement was sent, so the answer goes separately.
  bool acknowledged = false;
  bool holds_slot = false;
  /// An earlier delivery went over a leg that was lost, so that it can no
  /// longer be said that the request was not run.
  bool may_have_run = false;
  /// Starts before others: its transfer or observation was admitted before.
  bool resumed = false;
  int attempts = 0;
  uint64_t exchange = 0;
  /// The transfer that it is a part of, 0 for none.
  uint64_t transfer = 0;
  /// The observation that it registers again on our own account; then
  /// nobody waits for its answer. 0 for requests of callers.
  uint64_t registers = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_
