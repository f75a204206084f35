#ifndef CARDAMOMROUTE_CONTROL_QUORUM_WATCH_H_
#define CARDAMOMROUTE_CONTROL_QUORUM_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "absl/time/time.h"

namespace cardamomroute::control {

/// After this time without a voter that may be lost, and each time again after
/// it, the group's state is reported anew.
inline constexpr absl::Duration kNoSpareReportInterval = absl::Seconds(10);

/// Voters of a group as its leader sees them.
struct quorum_margin {
  size_t voters = 0;
  /// Voters that answer, the leader included.
  size_t available = 0;
  /// Voters that may be lost before the group has no quorum.
  size_t spare = 0;
};

/// Decides when the leader reports the group's margin: when it changes, and
/// repeatedly while no voter may be lost.
class quorum_watch {
 public:
  /// True if `margin` is to be reported now.
  bool IsReportDue(const quorum_margin& margin, absl::Time now);

  /// This member leads no more: its next margin is reported in any case.
  void Reset();

 private:
  std::optional<size_t> reported_spare_;
  absl::Time repeat_at_ = absl::InfiniteFuture();
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_QUORUM_WATCH_H_
