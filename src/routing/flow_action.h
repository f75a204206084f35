#ifndef CARDAMOMROUTE_ROUTING_FLOW_ACTION_H_
#define CARDAMOMROUTE_ROUTING_FLOW_ACTION_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/error_kind.h"
#include "routing/packet_header.h"

namespace cardamomroute {

/// What an agent's shell is to do.
enum class flow_action_kind : uint8_t {
  /// Hand the payload to the request core: the flow is held here.
  kDeliver,
  /// Send header and payload to the agent `to`.
  kSend,
  /// Give the caller a final answer: not run, for the reason in `error`.
  kRefuse,
  /// Take the state of `header.flow` out of the request core if it has no
  /// request in flight, and call OnExported; else call OnFlowIdle later.
  kExport,
  /// Put the state in the payload into the request core.
  kImport,
  /// Drop the state of `header.flow` from the request core: another target
  /// holds the flow.
  kAbandon,
  /// Pull a newer view at once.
  kPullNow,
  /// This target is no longer in the view: announce it anew, with a new core.
  kRemoved,
  /// Nothing to do but to log.
  kDrop,
};

/// Why; for logs.
enum class flow_reason : uint8_t {
  kHeldHere,
  kPlacedHere,
  kPlacedByHome,
  kPlacedOnCandidate,
  kRedirected,
  kForwardedToHome,
  kReturnedToHome,
  kAskedPreviousHome,
  kAwaitsHolders,
  kAwaitsView,
  kAwaitsHandover,
  kRegistered,
  kHandedOver,
  kTakenOver,
  kSuperseded,
  kLeaseExpired,
  kNoTarget,
  kIsDraining,
  kForeignService,
  kTooManyHops,
  kBufferFull,
  kPeerMessage,
  kNotMember,
};

/// Names of the reasons, in the order of the enumeration.
extern const std::array<std::string_view, 23> kFlowReasonNames;

/// One thing for the shell to do.
struct flow_action {
  flow_action_kind kind = flow_action_kind::kDrop;
  flow_reason reason = flow_reason::kHeldHere;
  packet_header header;
  std::string payload;
  target_id to = 0;
  endpoint agent;
  /// kRefuse only.
  error_kind error = error_kind::kBusy;
  /// kDeliver only: the flow was placed here just now.
  bool is_new = false;
};

using flow_actions = std::vector<flow_action>;

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_ACTION_H_
