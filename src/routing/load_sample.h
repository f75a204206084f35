#ifndef CARDAMOMROUTE_ROUTING_LOAD_SAMPLE_H_
#define CARDAMOMROUTE_ROUTING_LOAD_SAMPLE_H_

#include <cstdint>

#include "absl/time/time.h"

namespace cardamomroute {

/// Load of one target, as its agent measured it on its own traffic.
struct load_sample {
  uint32_t busy_slots = 0;
  uint32_t queued = 0;
  /// Flows held, without those that only observe.
  uint32_t held_flows = 0;
  /// Slots that may be used: the upstream's, lowered during a cold start and
  /// by the upstream's own report.
  double usable_slots = 1;
  /// Share of its slots that the upstream last reported as free, for the
  /// strategy that trusts reports; 0 to 1.
  double reported_free_share = 1;
  absl::Time measured_at = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_LOAD_SAMPLE_H_
