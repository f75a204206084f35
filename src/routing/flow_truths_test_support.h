#ifndef CARDAMOMROUTE_ROUTING_FLOW_TRUTHS_TEST_SUPPORT_H_
#define CARDAMOMROUTE_ROUTING_FLOW_TRUTHS_TEST_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/container/btree_map.h"
#include "routing/flow_key.h"
#include "routing/world_counts_test_support.h"
#include "view/view.h"

namespace cardamomroute {

/// The state of a flow: the packets that were delivered to it.
using flow_state = std::vector<uint64_t>;

/// Where each flow and its state must be, as seen from outside the cores, and
/// what of that did not hold.
class flow_truths {
 public:
  /// Adds what is found broken or lost to `counts`, which outlives this.
  explicit flow_truths(world_counts* counts) : counts_(counts) {}

  /// The packet `serial` was delivered at `holder`, which says whether the
  /// flow is new there and has the state `state`; adds the packet to it.
  void OnDeliver(const flow_key& flow, target_id holder, bool is_new,
                 uint64_t serial, flow_state* state);
  void OnExport(const flow_key& flow, target_id holder);
  void OnImport(const flow_key& flow, target_id holder,
                const flow_state& state);
  void OnAbandon(const flow_key& flow, target_id holder);
  void OnCrash(target_id holder);

  /// Holder of a flow; 0 where there is none or its state is in transit.
  target_id HolderOf(const flow_key& flow) const;
  void Erase(const flow_key& flow) { truths_.erase(flow); }
  std::size_t size() const { return truths_.size(); }

 private:
  struct flow_truth {
    target_id holder = 0;
    bool is_in_transit = false;
    /// Its holder crashed; the state may still arrive by a handover.
    bool is_doomed = false;
    flow_state log;
  };

  world_counts* counts_;
  absl::btree_map<flow_key, flow_truth> truths_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_TRUTHS_TEST_SUPPORT_H_
