#ifndef CARDAMOMROUTE_VIEW_BALANCER_GROUPS_H_
#define CARDAMOMROUTE_VIEW_BALANCER_GROUPS_H_

#include <vector>

#include "base/result.h"
#include "inner/view.pb.h"
#include "view/view.h"

namespace cardamomroute {

/// Moves the balancers of a change that have IPv4 addresses into groups by
/// availability zone, which name the zone once.
void GroupBalancers(inner::view_delta* delta);

/// Adds the balancers in groups to those listed one by one, sorted by id.
/// Fails with kMalformedMessage where an id is 0 or comes twice, or where ids
/// and addresses are not of one number.
result<void> AddGroupedBalancers(const inner::view_delta& delta,
                                 std::vector<balancer>* balancers);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_BALANCER_GROUPS_H_
