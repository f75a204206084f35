#ifndef CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_CHOICE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_CHOICE_H_

#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "base/endpoint.h"
#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute {

/// Through which balancer an agent answers each caller: the one last heard
/// from on the flow while it is in the view, else any that is.
class balancer_choice {
 public:
  void OnView(const view& current);

  /// A packet of the flow came through `balancer`.
  void OnPacket(const flow_key& flow, const endpoint& balancer);

  void Forget(const flow_key& flow) { last_heard_.erase(flow); }

  /// Null when no balancer is known.
  const endpoint* Choose(const flow_key& flow) const;

 private:
  absl::flat_hash_map<flow_key, endpoint> last_heard_;
  absl::flat_hash_set<endpoint> present_;
  std::vector<endpoint> in_order_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_CHOICE_H_
