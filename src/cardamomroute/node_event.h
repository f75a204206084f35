#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_EVENT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_EVENT_H_

#include <cstdint>
#include <memory>

#include "absl/time/time.h"
#include "view/view_change.h"

namespace cardamomroute {

/// What the control thread of a node tells its traffic threads after each
/// answer to a pull.
struct node_event {
  /// Null where the view has not changed.
  std::shared_ptr<const view_change> change;
  /// The version in force as control said it.
  uint64_t current_version = 0;
  /// When the pull that was answered left this node.
  absl::Time asked_at = absl::InfinitePast();
  /// The id that control gave this node; 0 until it did.
  uint64_t own_id = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_EVENT_H_
