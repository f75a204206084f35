#ifndef CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_
#define CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// State of a request between its arrival and its final answer.
enum class request_state : uint8_t {
  /// Waiting for a slot; not being processed by the upstream.
  kQueued,
  /// Shed by the upstream; waiting for the backoff before the next attempt.
  kWaitingToRetry,
  /// Sent to the upstream.
  kRunning,
  /// Repeat of a request in progress; waiting for the answer to that one.
  kAttached,
};

/// A request of a caller, or a registration that renews an observation.
struct caller_request {
  uint64_t id = 0;
  flow_key flow;
  coap_message message;
  /// Index of the call kind.
  size_t kind = 0;
  request_state state = request_state::kQueued;
  absl::Time deadline;
  absl::Time started_at;
  /// The Echo value under which the request was admitted; empty for idempotent
  /// requests.
  std::string echo;
  /// True if an empty acknowledgement was sent; the answer is then a separate
  /// response (RFC 7252, section 5.2.2).
  bool acknowledged = false;
  bool holds_slot = false;
  /// True if an earlier attempt used a leg that was lost. The request may have
  /// run, so a not-run answer is no longer possible.
  bool may_have_run = false;
  /// True if the request was already admitted, by itself or as a part of its
  /// transfer; it then starts before new requests.
  bool resumed = false;
  /// Number of times that the request was sent to the upstream.
  int attempts = 0;
  /// Id of the latest exchange with the upstream; 0 if none.
  uint64_t exchange = 0;
  /// Id of the block-wise transfer that contains this request; 0 if none.
  uint64_t transfer = 0;
  /// Id of the observation whose registration this request renews; 0 for
  /// requests of callers. The core sends renewals on its own initiative, so no
  /// caller waits for the answer.
  uint64_t renewed_observation = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CALLER_REQUEST_H_
