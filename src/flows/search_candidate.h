#ifndef CARDAMOMROUTE_FLOWS_SEARCH_CANDIDATE_H_
#define CARDAMOMROUTE_FLOWS_SEARCH_CANDIDATE_H_

#include "base/ipv4_address.h"

namespace cardamomroute {

/// An agent whose upstream may hold a flow that is looked for.
struct search_candidate {
  ipv4_address agent;
  /// It is likely to answer, so that its answer is awaited.
  bool is_reachable = true;
  /// No member of control has heard it lately.
  bool is_silent = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_SEARCH_CANDIDATE_H_
