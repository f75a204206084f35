#ifndef CARDAMOMROUTE_LOAD_VIEW_COSTS_H_
#define CARDAMOMROUTE_LOAD_VIEW_COSTS_H_

namespace cardamomroute::load {

/// Prints what a view of 12,000 services takes in a balancer's table.
void MeasureServiceBytes();

/// Prints bytes and times of a view of 12,000 services and 40,000 targets, of
/// a balancer's table for it, and of the delta of one target that joins.
void MeasureFleetView();

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_VIEW_COSTS_H_
