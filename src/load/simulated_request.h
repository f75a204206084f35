#ifndef CARDAMOMROUTE_LOAD_SIMULATED_REQUEST_H_
#define CARDAMOMROUTE_LOAD_SIMULATED_REQUEST_H_

#include <cstddef>
#include <string>

#include "absl/time/time.h"
#include "routing/flow_key.h"

namespace cardamomroute::load {

/// One request of a simulated caller and what became of it.
struct simulated_request {
  /// Index in SimulatedCalls.
  size_t kind = 0;
  absl::Duration run;
  absl::Time arrived_at;
  flow_key flow;
  absl::Time deadline;
  bool settled = false;
  bool answered = false;
  bool answered_in_time = false;
  bool told_not_run = false;
  int runs = 0;
  int runs_when_told = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SIMULATED_REQUEST_H_
