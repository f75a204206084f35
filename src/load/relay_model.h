#ifndef CARDAMOMROUTE_LOAD_RELAY_MODEL_H_
#define CARDAMOMROUTE_LOAD_RELAY_MODEL_H_

#include <cstddef>
#include <cstdint>

namespace cardamomroute::load {

/// How a fleet spreads a view through relays.
struct relay_outcome {
  std::size_t levels = 0;
  double tree_build_ms = 0;
  /// Time that one node needs to find its parents.
  double parents_us = 0;
  /// From the first start of all nodes until each has heard control.
  double settle_ms = 0;
  /// Between two pulls of a node.
  double pull_interval_ms = 0;
  /// From a new version at the control VMs until each node has heard of it,
  /// without the network's latency.
  double in_force_ms = 0;
  std::size_t most_children = 0;
  std::size_t most_children_of_control = 0;
  /// Pulls that the busiest node and the busiest control VM answer a second.
  double most_pulls_per_s = 0;
  double most_control_pulls_per_s = 0;
  /// Nodes that control counted as having the new version, one second later.
  uint64_t nodes_counted = 0;
};

/// Runs relay cores of balancers and agents under `control_vms` control VMs.
relay_outcome RunRelays(std::size_t balancers, std::size_t agents,
                        std::size_t control_vms, uint64_t seed);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_RELAY_MODEL_H_
