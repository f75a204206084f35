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

/// One incarnation of a node that stands in the view.
struct registered_node {
  uint64_t incarnation = 0;
  /// Of its target or balancer.
  uint64_t id = 0;
};

/// The nodes in the view, by name. Applies registry batches.
class node_table {
 public:
  /// Null where the node is not in the view.
  const registered_node* Find(const std::string& name) const;

  /// The name of a node in the view, or null.
  const std::string* NameOf(uint64_t id) const;

  /// The name of the node in the view whose agent has this address, or null.
  const std::string* NameOfAgent(const endpoint& agent) const;

  /// The id that the next node gets; all ids up to now lie below it.
  uint64_t NextId() const { return next_id_; }

  const absl::btree_map<std::string, registered_node>& Nodes() const {
    return nodes_;
  }

  void Apply(const inner::registry_batch& batch, versioned_view* edited);

  /// Removes the targets of services that are no more; the ids rise.
  void RemoveTargetsOf(const std::vector<service_id>& services,
                       versioned_view* edited);

  /// The next `count` ids are given to no node.
  void SkipIds(uint64_t count) { next_id_ += count; }

  void Save(inner::state_snapshot* snapshot) const;
  /// `restored` is the view that belongs to the snapshot.
  void Restore(const inner::state_snapshot& snapshot, const view& restored);

 private:
  void Join(const inner::node_join& join, versioned_view* edited);
  void JoinTarget(const inner::node_join& join, versioned_view* edited);
  void JoinBalancer(const inner::node_join& join, versioned_view* edited);
  uint64_t Enter(const inner::node_join& join, versioned_view* edited);
  void Drain(uint64_t id, versioned_view* edited);
  void RemoveAll(std::vector<uint64_t> ids, versioned_view* edited);
  void RemoveZone(const inner::zone_loss& loss, versioned_view* edited);

  absl::btree_map<std::string, registered_node> nodes_;
  absl::flat_hash_map<uint64_t, std::string> names_;
  absl::flat_hash_map<endpoint, target_id> agents_;
  uint64_t next_id_ = 1;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_NODES_H_
