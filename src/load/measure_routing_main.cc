// Measures routing and placement: broken flows beside two baselines, decision
// times, messages for each change, heap bytes, imbalance of three placement
// strategies. Prints key=value lines.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>
#include <vector>

#include "load/broken_flow_trial.h"
#include "load/decision_costs.h"
#include "load/figure_output.h"
#include "load/placement_baselines.h"
#include "load/placement_model.h"
#include "load/relay_model.h"
#include "load/routing_seeds.h"
#include "load/view_costs.h"
#include "routing/placement_strategy.h"

namespace cardamomroute::load {
namespace {

void MeasureBrokenFlows() {
  broken_flow_trial trial;
  for (const uint64_t seed : kRoutingSeeds) {
    PrintFigure("seed", static_cast<double>(seed));
    trial.Run(seed);
  }
  trial.Print();
}

void MeasureRelays() {
  constexpr std::size_t kBalancers = 6000;
  constexpr std::size_t kAgents = 40000;
  constexpr std::size_t kControlVms = 3;
  const relay_outcome outcome =
      RunRelays(kBalancers, kAgents, kControlVms, kRoutingSeeds.front());
  PrintFigure("relay_nodes", kBalancers + kAgents);
  PrintFigure("relay_levels", outcome.levels);
  PrintFigure("relay_tree_build_ms", outcome.tree_build_ms);
  PrintFigure("relay_parents_us", outcome.parents_us);
  PrintFigure("relay_pull_interval_ms", outcome.pull_interval_ms);
  PrintFigure("relay_settle_ms", outcome.settle_ms);
  PrintFigure("relay_in_force_ms", outcome.in_force_ms);
  PrintFigure("relay_most_children", outcome.most_children);
  PrintFigure("relay_most_children_of_control",
              outcome.most_children_of_control);
  PrintFigure("relay_most_pulls_per_s", outcome.most_pulls_per_s);
  PrintFigure("relay_most_control_pulls_per_s",
              outcome.most_control_pulls_per_s);
  PrintFigure("relay_nodes_counted", outcome.nodes_counted);
}

/// Seeds of a placement, from the first routing seed on.
constexpr uint64_t kPlacementSeeds = 20;

/// Means over the seeds, and the imbalance of each, sorted.
struct placement_figures {
  placement_outcome mean;
  std::vector<double> imbalances;
};

placement_figures FiguresOf(const placement_setup& base,
                            const placement_strategy& strategy) {
  placement_figures figures;
  placement_outcome& mean = figures.mean;
  for (uint64_t i = 0; i < kPlacementSeeds; ++i) {
    placement_setup setup = base;
    setup.seed = kRoutingSeeds.front() + i;
    const placement_outcome outcome = RunPlacement(setup, strategy);
    const auto share = 1.0 / static_cast<double>(kPlacementSeeds);
    mean.imbalance += share * outcome.imbalance;
    mean.imbalance_second += share * outcome.imbalance_second;
    mean.mean_wait_ms += share * outcome.mean_wait_ms;
    mean.load += share * outcome.load;
    figures.imbalances.push_back(outcome.imbalance);
  }
  std::sort(figures.imbalances.begin(), figures.imbalances.end());
  return figures;
}

void MeasurePlacement(const std::string& label, const placement_setup& setup) {
  for (const placement_strategy* strategy :
       {&HomeOnlyPlacement(), &BusySlotsPlacement(), &MeasuredLoadPlacement(),
        &ReportedLoadPlacement()}) {
    const placement_figures figures = FiguresOf(setup, *strategy);
    const std::string name = label + "_" + std::string(strategy->name());
    PrintFigure("imbalance_" + name, figures.mean.imbalance);
    PrintFigure("imbalance_least_" + name, figures.imbalances.front());
    PrintFigure("imbalance_most_" + name, figures.imbalances.back());
    PrintFigure("imbalance_of_seconds_" + name, figures.mean.imbalance_second);
    PrintFigure("wait_ms_" + name, figures.mean.mean_wait_ms);
    PrintFigure("load_" + name, figures.mean.load);
  }
}

void MeasurePlacements() {
  placement_setup short_flows;
  MeasurePlacement("short_flows", short_flows);
  placement_setup long_flows;
  long_flows.requests_per_flow = 200;
  long_flows.pause_seconds = 1;
  // Several lives of a flow, 210 s each: the load grows until then.
  long_flows.warmup_seconds = 1000;
  MeasurePlacement("long_flows", long_flows);
  placement_setup few_flows;
  few_flows.lasting_flows = 40;
  few_flows.service_seconds = 0.02;
  few_flows.pause_seconds = 0.313;
  few_flows.seconds = 12;
  MeasurePlacement("few_flows", few_flows);
  few_flows.lasting_flows = 70;
  few_flows.observations = 30;
  MeasurePlacement("observed_flows", few_flows);
  few_flows.counts_observations = false;
  MeasurePlacement("observed_flows_uncounted", few_flows);
}

}  // namespace
}  // namespace cardamomroute::load

int main() {
  using namespace cardamomroute::load;  // NOLINT(google-build-using-namespace)
  MeasureBrokenFlows();
  MeasureBalancerDecisions();
  MeasureAgentDecisions();
  MeasureServiceBytes();
  MeasureFleetView();
  MeasureRelays();
  MeasurePlacements();
  return 0;
}
