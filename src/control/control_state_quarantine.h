#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_QUARANTINE_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_QUARANTINE_H_

#include <string>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// How long an address stays with its former service. Every node's lease
/// (kNodeLease) on a view in which that service had it has run out by then,
/// and datagrams under way have arrived or are lost.
inline constexpr absl::Duration kAddressQuarantine = absl::Seconds(8);

/// Addresses that services have given up, until another one may have them.
class address_quarantine {
 public:
  /// `service` gives up `address` at `now`.
  void Release(const endpoint& address, const std::string& service,
               absl::Time now);

  /// The service that alone may take `address` at `now`; null where any may.
  const std::string* HolderOf(const endpoint& address, absl::Time now) const;

  /// When any service may take `address`.
  absl::Time DeadlineOf(const endpoint& address) const;

  /// Forgets what ended before `now`.
  void Expire(absl::Time now);

  void Save(inner::state_snapshot* snapshot) const;
  /// Passes over addresses that cannot be read.
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
