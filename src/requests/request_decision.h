#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "routing/flow_key.h"

namespace cardamomroute {

/// What was decided about a request or about a leg.
enum class decision_kind : uint8_t {
  kQueued,
  kStarted,
  kAnswered,
  kNotRun,
  kUnknown,
  kRefused,
  kChallenged,
  kRepeatAnswered,
  kRepeatAttached,
  kForwarded,
  kRetried,
  kObservationStarted,
  kObservationEnded,
  kLegReopened,
};

/// Why it was decided so.
enum class decision_reason : uint8_t {
  kNone,
  kMalformed,
  kUnknownCallKind,
  kQueueFull,
  kDisplaced,
  kDeadlineUnmeetable,
  kDeadlinePassed,
  kDraining,
  kDedupTableFull,
  kEchoAbsent,
  kEchoStale,
  kEchoForged,
  kEchoReused,
  kOtherIncarnation,
  kLostIncarnation,
  kUpstreamShed,
  kUpstreamReset,
  kUpstreamGone,
  kLegLost,
  kTransferUnknown,
  kTransferChanged,
  kCallerGone,
};

/// The name of a decision in logs, for example "not-run".
std::string_view NameOf(decision_kind kind);
/// The name of a reason in logs, for example "queue-full".
std::string_view NameOf(decision_reason reason);

/// One line of the decision log.
struct request_decision {
  flow_key flow;
  /// Name of the call kind; empty where none was found.
  std::string call;
  /// Serial number of the request within this incarnation; 0 for none.
  uint64_t request = 0;
  decision_kind decision = decision_kind::kQueued;
  decision_reason reason = decision_reason::kNone;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_
