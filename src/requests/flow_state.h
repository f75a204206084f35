#ifndef CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_
#define CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_

#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "requests/seen_messages.h"
#include "view/view.h"

namespace cardamomroute {

/// Former holders of a flow whose Echo values its holder can judge. A value of
/// an older one goes to its issuer while that lives, and is answered unknown
/// after that: it admits no run in either case.
constexpr int kMaxFormerHolders = 16;

/// What a request core keeps of a flow beside its requests and observations.
struct flow_state {
  /// HashOf of its key.
  uint64_t hash = 0;
  seen_messages seen;
  /// Message id of the next message that we start towards the caller.
  uint16_t next_message_id = 0;
  /// Requests and transfers that keep the flow from being handed over.
  uint32_t open = 0;
  uint32_t observations = 0;
  /// Asked for anything but an observation.
  bool has_called = false;
  /// Counted among the flows that only observe.
  bool only_observes = false;
  /// The last agents that held the flow before this one, the oldest first; at
  /// most kMaxFormerHolders.
  std::vector<target_id> previous_holders;
  /// Since when its messages come here and not to another holder.
  absl::Time held_since = absl::InfiniteFuture();
  absl::Time used_at;
  bool idle_announced = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_FLOW_STATE_H_
