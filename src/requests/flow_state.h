#ifndef CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_
#define CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "requests/seen_messages.h"
#include "view/view.h"

namespace cardamomroute {

/// Maximum number of former holders of a flow whose Echo values the current
/// holder can validate. A request with the Echo value of an earlier holder is
/// forwarded to that holder if it is alive and is answered run-unknown
/// otherwise; the current holder never runs it.
constexpr int kMaxFormerHolders = 16;

/// State of one flow in a request_core, without its requests and observations.
struct flow_state {
  /// HashOf the flow key.
  uint64_t hash = 0;
  /// Recently received message ids, to detect duplicates.
  seen_messages seen;
  /// Message id of the next message sent to the caller that is not an
  /// acknowledgement or a reset.
  uint16_t next_message_id = 0;
  /// Number of requests and transfers in flight. The flow cannot be handed over
  /// until it is 0.
  uint32_t in_flight = 0;
  /// Number of observations.
  uint32_t observations = 0;
  /// True if the caller has sent a request without an Observe option.
  bool has_other_requests = false;
  /// True if the flow is counted in request_load::observing_flows.
  bool is_observe_only = false;
  /// Targets that held the flow before this one, oldest first; at most
  /// kMaxFormerHolders.
  std::vector<target_id> previous_holders;
  /// Time since which this core has held the flow; InfiniteFuture if another
  /// target holds it and forwards its messages.
  absl::Time held_since = absl::InfiniteFuture();
  /// Arrival time of the last request or of the imported state.
  absl::Time last_used_at;
  /// True if flow_idle was emitted since a request was last added.
  bool is_idle_announced = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_
