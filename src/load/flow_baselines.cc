#include "load/flow_baselines.h"

#include <cstddef>

#include "routing/flow_key.h"
#include "routing/service_routes.h"

namespace cardamomroute::load {
namespace {

uint64_t FlowHash(uint16_t caller) {
  flow_key flow;
  flow.caller.port = caller;
  flow.service = 1;
  return HashOf(flow);
}

service_routes RoutesOf(const std::vector<target_id>& ids) {
  std::vector<route_target> targets(ids.size());
  for (std::size_t i = 0; i < ids.size(); ++i) {
    targets[i].id = ids[i];
  }
  return service_routes(std::move(targets));
}

}  // namespace

void flow_baselines::AddChange(const std::vector<target_id>& before,
                               const std::vector<target_id>& after,
                               uint16_t flows) {
  const service_routes old_routes = RoutesOf(before);
  const service_routes new_routes = RoutesOf(after);
  for (uint16_t caller = 1; caller <= flows; ++caller) {
    const uint64_t hash = FlowHash(caller);
    modulo_ +=
        before[hash % before.size()] != after[hash % after.size()] ? 1 : 0;
    hash_ += old_routes.Home(hash) != new_routes.Home(hash) ? 1 : 0;
  }
}

}  // namespace cardamomroute::load
