#ifndef CARDAMOMROUTE_ROUTING_SERVICE_ROUTES_H_
#define CARDAMOMROUTE_ROUTING_SERVICE_ROUTES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/endpoint.h"
#include "view/view.h"

namespace cardamomroute {

/// What routing needs of a target.
struct route_target {
  target_id id = 0;
  endpoint agent;
  /// Equal for targets of the same availability zone.
  uint32_t zone_hash = 0;
  uint32_t slots = 1;
  target_state state = target_state::kServing;
  uint64_t since_version = 0;
};

/// The part of a target that routing needs.
route_target MakeRouteTarget(const target& item);

/// The targets of one service, with the home of each flow by rendezvous
/// (highest random weight) hashing: Thaler and Ravishankar, "Using name-based
/// mappings to increase hit rates", IEEE/ACM ToN 6(1), 1998. A target that
/// joins or leaves changes only the homes of its own share of the flows.
class service_routes {
 public:
  service_routes() = default;
  /// `targets` may come in any order.
  explicit service_routes(std::vector<route_target> targets);

  /// Home of the flow with this hash: the serving target of highest weight;
  /// among the draining ones where none serves; 0 where there is no target.
  target_id Home(uint64_t flow_hash) const;

  /// The serving target of highest weight after `home`, in another
  /// availability zone than `home` where there is one; 0 where `home` is the
  /// only serving target.
  target_id Candidate(uint64_t flow_hash, target_id home) const;

  /// The target with this id, or null.
  const route_target* Find(target_id id) const;

  /// Serving targets first, each part sorted by id.
  const std::vector<route_target>& targets() const { return targets_; }
  std::size_t serving_count() const { return serving_count_; }

 private:
  std::vector<route_target> targets_;
  /// One a target, in the order of `targets_`.
  std::vector<uint64_t> seeds_;
  std::size_t serving_count_ = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_SERVICE_ROUTES_H_
