#include "view/node_lease.h"

#include <algorithm>

namespace cardamomroute {

void node_lease::OnHeard(uint64_t own_version, uint64_t current_version,
                         absl::Time asked_at) {
  if (own_version != 0 && own_version >= current_version) {
    valid_until_ = std::max(valid_until_, asked_at + kNodeLease);
  }
}

}  // namespace cardamomroute
