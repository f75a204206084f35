#ifndef CARDAMOMROUTE_VIEW_VIEW_CHANGE_H_
#define CARDAMOMROUTE_VIEW_VIEW_CHANGE_H_

#include <cstdint>
#include <vector>

#include "view/lost_zone.h"
#include "view/view.h"

namespace cardamomroute {

/// What changed between two versions of the view: new or replaced items, and
/// the ids of those that are gone. All lists are sorted by id, lost zones by
/// version. What `lost_zones` says comes first: an item listed beside it is as
/// listed.
struct view_change {
  /// 0: the lists are the whole view.
  uint64_t from_version = 0;
  uint64_t to_version = 0;
  std::vector<service> services;
  std::vector<service_id> removed_services;
  std::vector<target> targets;
  std::vector<target_id> removed_targets;
  std::vector<balancer> balancers;
  std::vector<uint64_t> removed_balancers;
  std::vector<lost_zone> lost_zones;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_CHANGE_H_
