#ifndef CARDAMOMROUTE_VIEW_NODE_LEASE_H_
#define CARDAMOMROUTE_VIEW_NODE_LEASE_H_

#include <cstdint>

#include "absl/time/time.h"

namespace cardamomroute {

/// How long a node may take new flows after it last heard that its view was
/// the current one.
inline constexpr absl::Duration kNodeLease = absl::Seconds(3);

/// A node's right to act on its view. It is renewed by hearing, over a path
/// that leads to the control leader, that the version the node has is the
/// current one.
class node_lease {
 public:
  /// The node asked at `asked_at` and was told that `current_version` is in
  /// force, while its own view was at `own_version`. Renews the lease, from
  /// the moment of asking, only where the node is not behind.
  void OnHeard(uint64_t own_version, uint64_t current_version,
               absl::Time asked_at);

  bool IsValid(absl::Time now) const { return now < valid_until_; }
  absl::Time valid_until() const { return valid_until_; }

 private:
  absl::Time valid_until_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_NODE_LEASE_H_
