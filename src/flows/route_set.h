#ifndef CARDAMOMROUTE_FLOWS_ROUTE_SET_H_
#define CARDAMOMROUTE_FLOWS_ROUTE_SET_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "inner/configuration.pb.h"

namespace cardamomroute {

/// An opening waits so long at most. A caller gives up after 1.4 s, and must
/// have time for its request afterwards.
inline constexpr absl::Duration kLongestOpeningWait = absl::Milliseconds(1000);

/// The same as a share of the time that the route gives a request, so that a
/// caller that is refused can still try again.
inline constexpr int kWaitsARequestTime = 2;

/// A service that takes a share of a route's flows.
struct flow_share {
  /// Hash of the service's name.
  uint64_t service = 0;
  uint32_t weight = 0;
};

/// Where callers reach services whose flows are opaque.
struct flow_route {
  std::string name;
  /// In the operator's order; the sum of the weights is not 0.
  std::vector<flow_share> shares;
  /// Flows of the lowest are served first.
  uint32_t urgency = 0;
  /// How long an opening may wait for an upstream to have room.
  absl::Duration patience;

  /// The share that a flow with this hash falls to; shares in `excluded` (bit i
  /// for share i) are passed over. Null where none is left.
  const flow_share* ShareOf(uint64_t flow_hash, uint64_t excluded = 0) const;
};

/// The routes of one version of the configuration.
class route_set {
 public:
  route_set() = default;
  route_set(uint64_t version, const inner::route_list& list);

  uint64_t version() const { return version_; }
  size_t size() const { return routes_.size(); }

  /// The addresses of routes that `other` lacks.
  std::vector<ipv4_address> HostsMissingIn(const route_set& other) const;

  /// The route at the address, or null.
  const flow_route* Find(const ipv4_address& host) const;

 private:
  uint64_t version_ = 0;
  absl::flat_hash_map<ipv4_address, flow_route> routes_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_ROUTE_SET_H_
