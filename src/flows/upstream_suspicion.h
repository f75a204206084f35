#ifndef CARDAMOMROUTE_FLOWS_UPSTREAM_SUSPICION_H_
#define CARDAMOMROUTE_FLOWS_UPSTREAM_SUSPICION_H_

#include "absl/time/time.h"

namespace cardamomroute {

/// An upstream that was given packets and sent nothing for so long may have
/// crashed. Callers repeat an opening after 200 ms; what it does with a request
/// may take longer, so it is only asked then, not given up.
inline constexpr absl::Duration kSilenceBeforeCheck = absl::Milliseconds(150);

/// How often it is asked at most.
inline constexpr absl::Duration kCheckInterval = absl::Milliseconds(500);

/// Decides when an agent asks whether anybody listens at its upstream's
/// address: at the start, and where the upstream is silent though it was given
/// packets.
class upstream_suspicion {
 public:
  /// A packet was given to the upstream.
  void OnDelivered(absl::Time now);

  /// A packet or a heartbeat of the upstream.
  void OnHeard();

  /// True where it is to be asked now; counts as asked.
  bool TakeDue(absl::Time now);

  /// When TakeDue is true next, unless more happens.
  absl::Time NextDeadline() const;

 private:
  /// The first packet that it was given since it was heard last.
  absl::Time unanswered_since_ = absl::InfinitePast();
  absl::Time next_check_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_UPSTREAM_SUSPICION_H_
