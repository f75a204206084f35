#ifndef CARDAMOMROUTE_ROUTING_FLOW_ENTRY_H_
#define CARDAMOMROUTE_ROUTING_FLOW_ENTRY_H_

#include <cstdint>

#include "absl/time/time.h"
#include "routing/packet_buffer.h"
#include "routing/state_pieces.h"
#include "view/view.h"

namespace cardamomroute {

/// A flow whose state is here.
struct held_flow {
  uint64_t generation = 0;
  /// Home that was last told, or this target itself.
  target_id told_home = 0;
  /// Taken over, but the home has not acknowledged it: packets wait.
  bool is_unconfirmed = false;
  /// The request core was asked for the state.
  bool is_exporting = false;
};

/// A flow whose state another target holds.
struct flow_redirect {
  target_id holder = 0;
  uint64_t generation = 0;
  /// Placed there by this home; the holder has not registered it yet.
  bool is_granted = false;
  /// Kept this long after this target ceased to be the home.
  absl::Time expires = absl::InfiniteFuture();
};

/// A flow whose holder this home has yet to find out.
struct pending_flow {
  packet_buffer packets;
  absl::Time retry_at = absl::InfinitePast();
  uint32_t attempts = 0;
  /// A target that was asked as the holder and holds nothing up to this
  /// generation.
  target_id denier = 0;
  uint64_t denied_generation = 0;
};

/// A flow whose state is on its way to a successor.
struct outgoing_flow {
  uint64_t generation = 0;
  target_id told_home = 0;
  target_id successor = 0;
  target_id refused_by = 0;
  uint64_t sequence = 0;
  state_pieces state;
  packet_buffer packets;
  absl::Time retry_at = absl::InfinitePast();
  uint32_t attempts = 0;
};

/// Placements up to this generation are not to be taken up here any more.
struct flow_tombstone {
  uint64_t generation = 0;
  absl::Time expires;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_ENTRY_H_
