#ifndef CARDAMOMROUTE_LOAD_PLACEMENT_BASELINES_H_
#define CARDAMOMROUTE_LOAD_PLACEMENT_BASELINES_H_

#include "routing/placement_strategy.h"

namespace cardamomroute::load {

/// On the one of the two with fewer requests that run or wait for each usable
/// slot; where they are equal, with fewer flows.
const placement_strategy& BusySlotsPlacement();

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_PLACEMENT_BASELINES_H_
