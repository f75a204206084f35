#include "load/broken_flow_trial.h"

#include <memory>
#include <string>
#include <vector>

#include "load/figure_output.h"
#include "load/synthetic_view.h"
#include "routing/flow_world_test_support.h"

namespace cardamomroute::load {
namespace {

constexpr uint16_t kFlows = 500;
constexpr uint16_t kFlowsAtOnce = 50;
constexpr uint32_t kTargets = 7;
constexpr double kLoss = 0.02;
constexpr double kDuplication = 0.02;

/// What is changed at once.
struct planned_change {
  const char* name;
  std::size_t joins;
  std::size_t drains;
};
constexpr planned_change kPlannedChanges[] = {{"join", 1, 0},
                                              {"drain", 0, 1},
                                              {"join_drain", 1, 1},
                                              {"join_two_drains", 1, 2}};

std::string ZoneOf(uint32_t number) {
  return std::string(kSyntheticZones[number % kSyntheticZones.size()]);
}

/// One packet of each flow.
void SendFromAll(flow_world* world) {
  for (uint16_t caller = 1; caller <= kFlows; ++caller) {
    world->Send(caller, 1);
    if (caller % kFlowsAtOnce == 0) {
      world->RunFor(absl::Milliseconds(20));
    }
  }
}

std::unique_ptr<flow_world> StartWorld(uint64_t seed) {
  world_options options;
  options.seed = seed;
  options.loss = kLoss;
  options.duplication = kDuplication;
  auto world = std::make_unique<flow_world>(options);
  for (uint32_t i = 0; i < kTargets; ++i) {
    world->Join(1, ZoneOf(i));
  }
  world->Join(2, ZoneOf(0));
  world->RunFor(absl::Seconds(12));
  SendFromAll(world.get());
  world->RunFor(absl::Seconds(1));
  return world;
}

void AddCounts(const world_counts& counts, world_counts* sum) {
  sum->broken += counts.broken;
  sum->misdelivered += counts.misdelivered;
  sum->lost_by_crash += counts.lost_by_crash;
  sum->handed_over += counts.handed_over;
  sum->registrations += counts.registrations;
  sum->registered_flows += counts.registered_flows;
}

double Ratio(uint64_t part, uint64_t whole) {
  return static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void broken_flow_trial::Run(uint64_t seed) {
  ++runs_;
  RunPlannedChanges(seed);
  RunBalancerCrashes(seed);
  RunUpstreamCrashes(seed);
}

/// Joins, drains, several at once, with traffic all the while.
void broken_flow_trial::RunPlannedChanges(uint64_t seed) {
  const auto world = StartWorld(seed);
  const world_counts start = world->counts();
  for (std::size_t round = 0; round < kPlannedRounds; ++round) {
    const uint64_t broken_before = world->counts().broken;
    ChangeTargets(world.get(), round);
    for (int i = 0; i < 4; ++i) {
      SendFromAll(world.get());
    }
    if (round + 1 == kPlannedRounds) {
      world->RunFor(absl::Seconds(15));
      SendFromAll(world.get());
      world->RunFor(absl::Seconds(1));
    }
    broken_by_round_.at(round) += world->counts().broken - broken_before;
  }
  world_counts counts = world->counts();
  // What the start of the world cost is not part of the changes.
  counts.registrations -= start.registrations;
  counts.registered_flows -= start.registered_flows;
  AddCounts(counts, &planned_);
}

void broken_flow_trial::ChangeTargets(flow_world* world, std::size_t round) {
  const planned_change& change = kPlannedChanges[round];
  const std::vector<target_id> before = world->Serving(1);
  for (std::size_t i = 0; i < change.joins; ++i) {
    world->Join(1, ZoneOf(static_cast<uint32_t>(round)));
  }
  for (std::size_t i = 0; i < change.drains; ++i) {
    world->Drain(before.at(i));
  }
  planned_changes_ += change.joins + change.drains;
  baselines_by_round_.at(round).AddChange(before, world->Serving(1), kFlows);
}

void broken_flow_trial::RunBalancerCrashes(uint64_t seed) {
  const auto world = StartWorld(seed);
  for (int i = 0; i < 4; ++i) {
    world->RestartBalancer(i % 2);
    SendFromAll(world.get());
  }
  AddCounts(world->counts(), &balancer_crashes_);
}

void broken_flow_trial::RunUpstreamCrashes(uint64_t seed) {
  const auto world = StartWorld(seed);
  for (int i = 0; i < 2; ++i) {
    world->Crash(world->Serving(1)[i], absl::Seconds(3));
    SendFromAll(world.get());
    world->Join(1, ZoneOf(i));
    SendFromAll(world.get());
    world->RunFor(absl::Seconds(4));
    SendFromAll(world.get());
  }
  AddCounts(world->counts(), &upstream_crashes_);
}

void broken_flow_trial::PrintByRound() const {
  for (std::size_t round = 0; round < kPlannedRounds; ++round) {
    const std::string name = kPlannedChanges[round].name;
    const flow_baselines& baselines = baselines_by_round_.at(round);
    PrintFigure("planned_broken_flows_" + name, broken_by_round_.at(round));
    PrintFigure("baseline_modulo_broken_flows_" + name, baselines.modulo());
    PrintFigure("baseline_hash_broken_flows_" + name, baselines.hash());
  }
}

void broken_flow_trial::Print() const {
  uint64_t moved_by_modulo = 0;
  uint64_t moved_by_hash = 0;
  for (const flow_baselines& baselines : baselines_by_round_) {
    moved_by_modulo += baselines.modulo();
    moved_by_hash += baselines.hash();
  }
  PrintFigure("flows", kFlows * runs_);
  PrintFigure("planned_changes", planned_changes_);
  PrintFigure("planned_broken_flows", planned_.broken);
  PrintFigure("baseline_modulo_broken_flows", moved_by_modulo);
  PrintFigure("baseline_hash_broken_flows", moved_by_hash);
  PrintByRound();
  PrintFigure("balancer_crash_broken_flows", balancer_crashes_.broken);
  PrintFigure("upstream_crash_lost_flows", upstream_crashes_.lost_by_crash);
  PrintFigure("upstream_crash_collateral_flows", upstream_crashes_.broken);
  PrintFigure("misdelivered_packets", planned_.misdelivered +
                                          balancer_crashes_.misdelivered +
                                          upstream_crashes_.misdelivered);
  PrintFigure("register_messages_per_change",
              Ratio(planned_.registrations, planned_changes_));
  PrintFigure("registered_flows_per_change",
              Ratio(planned_.registered_flows, planned_changes_));
  PrintFigure("register_messages_per_registered_flow",
              Ratio(planned_.registrations, planned_.registered_flows));
  PrintFigure("handed_over_flows_per_change",
              Ratio(planned_.handed_over, planned_changes_));
}

}  // namespace cardamomroute::load
