#ifndef CARDAMOMROUTE_LOAD_PLACEMENT_MODEL_H_
#define CARDAMOMROUTE_LOAD_PLACEMENT_MODEL_H_

#include <cstdint>

namespace cardamomroute {

class placement_strategy;

namespace load {

/// A service under a stream of flows that each make a few requests.
struct placement_setup {
  uint64_t seed = 1;
  uint32_t targets = 7;
  uint32_t slots = 2;
  /// Share of all slots that is busy on average.
  double load = 0.7;
  double requests_per_flow = 4;
  double service_seconds = 0.05;
  double pause_seconds = 0.2;
  /// Age of what a home knows of a candidate's load.
  double sample_lag_seconds = 0.05;
  /// Age of the upstreams' reports.
  double report_lag_seconds = 2;
  /// Time before anything is measured.
  double warmup_seconds = 10;
  double seconds = 120;
  /// Flows that come within the first second and stay; with them, no others
  /// come and `load` means nothing.
  uint32_t lasting_flows = 0;
  /// Flows among them that ask once and then only observe.
  uint32_t observations = 0;
  /// Observations count as flows in what targets tell each other.
  bool counts_observations = true;
};

/// What a placement strategy made of it.
struct placement_outcome {
  /// Work done by the busiest target over the mean, for the whole time.
  double imbalance = 0;
  /// The same over seconds, averaged.
  double imbalance_second = 0;
  double mean_wait_ms = 0;
  /// Share of the slots that was busy while it was measured.
  double load = 0;
};

/// Runs the setup with homes and candidates by rendezvous hashing.
placement_outcome RunPlacement(const placement_setup& setup,
                               const placement_strategy& strategy);

}  // namespace load
}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_LOAD_PLACEMENT_MODEL_H_
