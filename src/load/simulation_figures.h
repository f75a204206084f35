#ifndef CARDAMOMROUTE_LOAD_SIMULATION_FIGURES_H_
#define CARDAMOMROUTE_LOAD_SIMULATION_FIGURES_H_

#include <cstdint>

namespace cardamomroute::load {

/// What was counted.
struct simulation_figures {
  uint64_t requests = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  /// Told that it may have run.
  uint64_t unknown = 0;
  /// Answered after the deadline.
  uint64_t late = 0;
  /// Never told anything, for example by a target that crashed.
  uint64_t untold = 0;
  /// Non-idempotent requests that ran more than once.
  uint64_t duplicate_runs = 0;
  /// Requests that ran although their caller was told otherwise.
  uint64_t false_not_run = 0;
  uint64_t crossed_answers = 0;
  /// Most work done by a target over the mean, while work arrived.
  double imbalance = 0;
  /// Work answered in time over what the slots can do, while work arrived.
  double useful_work = 0;
  /// Worth of the requests that were answered in time.
  double worth = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SIMULATION_FIGURES_H_
