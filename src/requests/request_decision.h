#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "routing/flow_key.h"

namespace cardamomroute {

/// Decision about a request, an observation or a leg.
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

/// Reason for a decision.
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

/// One entry of the decision log.
struct request_decision {
  flow_key flow;
  /// Name of the call kind; empty if unknown.
  std::string call;
  /// Id of the request, unique within this incarnation; 0 if the decision is
  /// not about a request.
  uint64_t request = 0;
  decision_kind decision = decision_kind::kQueued;
  decision_reason reason = decision_reason::kNone;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_DECISION_H_
