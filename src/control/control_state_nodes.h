#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_NODES_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_NODES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "control/control_state_view.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// One incarnation of a node that is registered in the view.
struct registered_node {
  uint64_t incarnation = 0;
  /// Id of its target or balancer.
  uint64_t id = 0;
};

/// The nodes in the view, by name. Applies registry batches to the view.
class node_table {
 public:
  /// Returns the node, or null if it is not in the view.
  const registered_node* Find(const std::string& name) const;

  /// Returns the name of the node with this id, or null if it is not in the
  /// view.
  const std::string* NameOf(uint64_t id) const;

  /// Returns the name of the node whose agent has this address, or null if none
  /// in the view has it.
  const std::string* NameOfAgent(const endpoint& agent) const;

  /// Id of the next node that registers; all ids assigned so far are lower.
  uint64_t NextId() const { return next_id_; }

  const absl::btree_map<std::string, registered_node>& Nodes() const {
    return nodes_;
  }

  /// Applies the losses, then the joins, then the drains of the batch.
  void Apply(const inner::registry_batch& batch, versioned_view* edited);

  /// Removes the targets of these services, whose ids must be in ascending
  /// order.
  void RemoveTargetsOf(const std::vector<service_id>& services,
                       versioned_view* edited);

  /// Leaves the next `count` ids unassigned.
  void SkipIds(uint64_t count) { next_id_ += count; }

  void Save(inner::state_snapshot* snapshot) const;
  /// Replaces the table by the one in `snapshot`; `restored` is the view of the
  /// same snapshot.
  void Restore(const inner::state_snapshot& snapshot, const view& restored);

 private:
  void Join(const inner::node_join& join, versioned_view* edited);
  void JoinTarget(const inner::node_join& join, versioned_view* edited);
  void JoinBalancer(const inner::node_join& join, versioned_view* edited);
  uint64_t RegisterNode(const inner::node_join& join, versioned_view* edited);
  void Drain(uint64_t id, versioned_view* edited);
  void RemoveNodes(std::vector<uint64_t> ids, versioned_view* edited);
  void RemoveZone(const inner::zone_loss& loss, versioned_view* edited);

  absl::btree_map<std::string, registered_node> nodes_;
  absl::flat_hash_map<uint64_t, std::string> names_by_id_;
  absl::flat_hash_map<endpoint, target_id> ids_by_agent_;
  uint64_t next_id_ = 1;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_NODES_H_
