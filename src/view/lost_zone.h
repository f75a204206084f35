#ifndef CARDAMOMROUTE_VIEW_LOST_ZONE_H_
#define CARDAMOMROUTE_VIEW_LOST_ZONE_H_

#include <cstdint>
#include <string>

namespace cardamomroute {

struct view;
struct view_change;

/// The loss of an availability zone as one item of a change: every target and
/// balancer there with an id below `below_id` is gone since `version`, which
/// is also the new epoch of the services of those targets.
struct lost_zone {
  uint64_t version = 0;
  std::string zone;
  uint64_t below_id = 0;

  template <typename Item>
  bool Contains(const Item& item) const {
    return item.id < below_id && item.zone == zone;
  }
};

/// Replaces the lost zones of `change`, which starts from `base`, by the ids
/// and services that they stand for. Items that the change lists itself stay
/// as listed.
void ExpandLostZones(const view& base, view_change* change);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_LOST_ZONE_H_
