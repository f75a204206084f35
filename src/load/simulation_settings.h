#ifndef CARDAMOMROUTE_LOAD_SIMULATION_SETTINGS_H_
#define CARDAMOMROUTE_LOAD_SIMULATION_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "load/target_server.h"

namespace cardamomroute::load {

/// How a new flow is given to one of its two candidate targets.
enum class placement_policy : uint8_t {
  /// The one with less work per slot, as its agent measures it now.
  kMeasuredLoad,
  /// The least loaded of all by reports that are a second old at most.
  kReportedLoad,
};

/// What a run of the simulation is about.
struct simulation_settings {
  uint64_t seed = 1;
  size_t targets = 7;
  uint32_t slots = 2;
  server_kind server = server_kind::kRequestCore;
  placement_policy placement = placement_policy::kMeasuredLoad;
  /// Work that arrives, as a share of what the slots can do.
  double load = 0.7;
  absl::Duration span = absl::Seconds(60);
  /// Non-idempotent calls pile up in a burst: their share is higher.
  bool burst = false;
  /// Loss, repetition and delay of datagrams, one drain and one crash.
  bool faults = false;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SIMULATION_SETTINGS_H_
