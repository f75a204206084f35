#ifndef CARDAMOMROUTE_ROUTING_PLACEMENT_STRATEGY_H_
#define CARDAMOMROUTE_ROUTING_PLACEMENT_STRATEGY_H_

#include <string_view>

#include "routing/load_sample.h"

namespace cardamomroute {

/// Decides where the home of a new flow places it.
class placement_strategy {
 public:
  virtual ~placement_strategy() = default;
  virtual std::string_view name() const = 0;
  /// True: on the candidate. `candidate` is the last sample that the home
  /// has, with the flows that it granted since counted in.
  virtual bool PrefersCandidate(const load_sample& home,
                                const load_sample& candidate,
                                absl::Time now) const = 0;
};

/// Always on the home.
const placement_strategy& HomeOnlyPlacement();

/// On the one of the two where less measured work is beyond the usable slots;
/// where they are equal, as when both have free slots, with fewer flows for
/// each slot. A busy slot says little of the next minutes, a flow does
/// (Mitzenmacher, "The Power of Two Choices
/// in Randomized Load Balancing", IEEE TPDS 12(10), 2001).
const placement_strategy& MeasuredLoadPlacement();

/// On the one whose upstream last reported the larger free share.
const placement_strategy& ReportedLoadPlacement();

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_PLACEMENT_STRATEGY_H_
