#ifndef CARDAMOMROUTE_FLOWS_UPSTREAM_BEAT_H_
#define CARDAMOMROUTE_FLOWS_UPSTREAM_BEAT_H_

#include <cstdint>
#include <optional>
#include <string>

namespace cardamomroute {

/// A heartbeat: what an upstream says of itself.
struct upstream_beat {
  std::string id;
  /// When this incarnation started, by the upstream's clock, where it says so.
  std::optional<int64_t> started_ms;
  /// Rises from beat to beat of one incarnation.
  uint64_t sequence = 0;
  bool draining = false;
  uint32_t slots = 1;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_UPSTREAM_BEAT_H_
