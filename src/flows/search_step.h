#ifndef CARDAMOMROUTE_FLOWS_SEARCH_STEP_H_
#define CARDAMOMROUTE_FLOWS_SEARCH_STEP_H_

#include <vector>

#include "base/ipv4_address.h"

namespace cardamomroute {

/// What is to be done next in the search for a flow.
struct search_step {
  /// Agents to ask whether their upstream holds the flow.
  std::vector<ipv4_address> ask;
  /// Agents to give a packet of the flow, so that their upstream says.
  std::vector<ipv4_address> try_at;
  /// Agents that were asked in vain for the first time.
  std::vector<ipv4_address> unanswered;
  /// An agent whose upstream took the packet and did not hand it back; a zero
  /// address where there is none.
  ipv4_address presumed;
  /// Every candidate denies the flow.
  bool is_nowhere = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_SEARCH_STEP_H_
