#ifndef CARDAMOMROUTE_LOAD_FILTERED_VIEW_COSTS_H_
#define CARDAMOMROUTE_LOAD_FILTERED_VIEW_COSTS_H_

namespace cardamomroute::load {

/// Prints what an agent is sent: its whole filtered view over the targets of
/// its service, over the balancers, over other services, and its changes.
void MeasureFilteredViews();

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_FILTERED_VIEW_COSTS_H_
