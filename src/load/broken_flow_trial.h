#ifndef CARDAMOMROUTE_LOAD_BROKEN_FLOW_TRIAL_H_
#define CARDAMOMROUTE_LOAD_BROKEN_FLOW_TRIAL_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "load/flow_baselines.h"
#include "routing/world_counts_test_support.h"

namespace cardamomroute {
class flow_world;
}  // namespace cardamomroute

namespace cardamomroute::load {

/// Flows that break under planned changes and crashes, over the routing cores
/// joined by a network that loses and repeats messages. Adds up several seeds.
class broken_flow_trial {
 public:
  void Run(uint64_t seed);

  /// Prints the sums of all runs as key=value lines.
  void Print() const;

 private:
  static constexpr std::size_t kPlannedRounds = 4;

  void RunPlannedChanges(uint64_t seed);
  void ChangeTargets(flow_world* world, std::size_t round);
  void PrintByRound() const;
  void RunBalancerCrashes(uint64_t seed);
  void RunUpstreamCrashes(uint64_t seed);

  uint64_t runs_ = 0;
  uint64_t planned_changes_ = 0;
  world_counts planned_;
  world_counts balancer_crashes_;
  world_counts upstream_crashes_;
  std::array<uint64_t, kPlannedRounds> broken_by_round_{};
  std::array<flow_baselines, kPlannedRounds> baselines_by_round_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_BROKEN_FLOW_TRIAL_H_
