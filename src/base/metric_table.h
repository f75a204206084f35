#ifndef CARDAMOMROUTE_BASE_METRIC_TABLE_H_
#define CARDAMOMROUTE_BASE_METRIC_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/settings.h"

namespace cardamomroute {

/// What a process measures, role by role.
enum class metric : uint8_t {
  // Balancers.
  kPacketsIn,
  kPacketsForwarded,
  kPacketsToHome,
  kPacketsRefusedNoTarget,
  kPacketsRefusedStaleView,
  kPacketsDropped,
  kHeadersMalformed,
  kAnswersDelivered,
  kAnswersDropped,
  kBatchesToAgents,
  kBatchesFromAgents,
  // Balancers: opaque flows.
  kOpeningsPlaced,
  kOpeningsRefusedNoRoute,
  kOpeningsRefusedNoUpstream,
  kPacketsReturned,
  kFlowsSearched,
  kSearchBytes,
  kSearchTries,
  kFlowsNotFound,
  kFlowsReset,
  kPacketsHeld,
  kCachedFlows,
  kKnownUpstreams,
  kRoutesVersion,
  kUpstreamsSettled,
  kControlAnswersLate,
  kFlowSearchTime,
  kControlAnswerTime,
  // Agents: packets.
  kAgentPacketsIn,
  kAgentPacketsDropped,
  // Agents: requests by decision, in the order of decision_kind.
  kRequestsQueued,
  kRequestsStarted,
  kRequestsAnswered,
  kRequestsNotRun,
  kRequestsUnknown,
  kRequestsRefused,
  kRequestsChallenged,
  kRepeatsAnswered,
  kRepeatsAttached,
  kRequestsForwarded,
  kRequestsRetried,
  kObservationsStarted,
  kObservationsEnded,
  kLegsReopened,
  // Agents: flows.
  kFlowsPlacedHere,
  kFlowsPlacedElsewhere,
  kFlowsRedirected,
  kFlowsRefused,
  kFlowsHandedOver,
  kFlowsTakenOver,
  kFlowsSuperseded,
  kFlowsClosed,
  // Agents: opaque flows.
  kOpeningsDelivered,
  kOpeningsHandedBack,
  kOpeningsQueued,
  kUpstreamPackets,
  kUpstreamHandedBack,
  kAgentFlowsReset,
  kOpenFlows,
  kBusyFlows,
  kUpstreamServes,
  // Agents: present state.
  kSlotsInUse,
  kSlots,
  kRequestsWaiting,
  kFlowsHeld,
  kRedirectsHeld,
  // Agents: durations.
  kTimeInQueue,
  kTimeAtUpstream,
  kFlowOpeningTime,
  kOpeningWaitTime,
  kFlowAnswerTime,
  // Control.
  kEntriesCommitted,
  kTextsAccepted,
  kTextsRefused,
  kPulls,
  kPullsNotLeading,
  kDeltasSent,
  kFullViewsSent,
  kLeaderships,
  kRepairs,
  kSpareVoters,
  kCommitTime,
  // Control: configurations of routes.
  kConfigurationCalls,
  kConfigurationsRefused,
  kConfigurationCallsUnavailable,
  kConfigurationVersion,
  kMembers,
  kAnnouncements,
  kPolls,
};

constexpr size_t kMetricCount = static_cast<size_t>(metric::kPolls) + 1;

enum class metric_kind : uint8_t {
  /// Events since the process began.
  kCounter,
  /// A present state.
  kGauge,
  /// A distribution of durations since the process began.
  kLatency,
};

struct metric_row {
  std::string_view name;
  process_role role;
  metric_kind kind;
};

/// In the order of metric; the rows of one role stand together.
extern const std::array<metric_row, kMetricCount> kMetricTable;

inline const metric_row& RowOf(metric wanted) {
  return kMetricTable.at(static_cast<size_t>(wanted));
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_METRIC_TABLE_H_
