#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_QUARANTINE_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_QUARANTINE_H_

#include <string>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// How long a released address stays reserved for its former service. By the
/// end of it, every node's lease (kNodeLease) on a view in which that service
/// had the address has expired, and datagrams in flight have arrived or are
/// lost.
inline constexpr absl::Duration kAddressQuarantine = absl::Seconds(8);

/// Addresses that services have released and that no other service may use yet.
class address_quarantine {
 public:
  /// Starts the quarantine of `address`, which `service` releases at `now`.
  void Release(const endpoint& address, const std::string& service,
               absl::Time now);

  /// Returns the only service that may use `address` at `now`, or null if any
  /// service may.
  const std::string* HolderOf(const endpoint& address, absl::Time now) const;

  /// Returns when the quarantine of `address` ends; the infinite past if it has
  /// none.
  absl::Time DeadlineOf(const endpoint& address) const;

  /// Removes the quarantines that have ended by `now`.
  void RemoveExpired(absl::Time now);

  void Save(inner::state_snapshot* snapshot) const;
  /// Replaces the quarantines by those in `snapshot`. Skips addresses that
  /// cannot be parsed.
  void Restore(const inner::state_snapshot& snapshot);

 private:
  struct released {
    std::string service;
    absl::Time deadline;
  };

  absl::btree_map<endpoint, released> released_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_QUARANTINE_H_
