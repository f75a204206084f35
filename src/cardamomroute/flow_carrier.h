#ifndef CARDAMOMROUTE_CARDAMOMROUTE_FLOW_CARRIER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_FLOW_CARRIER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute {

/// What a flow_carrier needs from the agent around it.
class carrier_host {
 public:
  virtual ~carrier_host() = default;

  /// Sends a datagram to the flow's caller, through a balancer.
  virtual void SendToCaller(const flow_key& flow,
                            std::string_view datagram) = 0;

  /// The flow has no request in flight and can be exported.
  virtual void FlowIdle(const flow_key& flow) = 0;

  /// The flow has ended here; nothing of it is kept.
  virtual void FlowClosed(const flow_key& flow) = 0;

  /// A datagram that only the agent of target `holder` may decide on.
  virtual void ForwardToHolder(const flow_key& flow, target_id holder,
                               std::string_view datagram) = 0;
};

/// How busy the upstream is, as seen from its own traffic.
struct carrier_load {
  uint32_t busy_slots = 0;
  uint32_t slots = 0;
  uint32_t queued = 0;
  /// Flows that only observe: they run next to nothing.
  uint32_t observing_flows = 0;
};

/// Carries the flows that an agent holds to and from its upstream. One kind
/// for each service_protocol.
class flow_carrier {
 public:
  virtual ~flow_carrier() = default;

  /// A newer view in which `own` is the service of this agent.
  virtual void OnView(const view& current, const service& own) = 0;

  /// Flows that are held here may be held by other targets as well from
  /// `valid_until` on. Called whenever it changes.
  virtual void OnLease(absl::Time valid_until) = 0;

  /// A datagram of a caller whose flow is held here.
  virtual void OnCallerDatagram(const flow_key& flow, std::string_view datagram,
                                absl::Time now) = 0;

  /// A datagram that another agent passed on by ForwardToHolder and whose
  /// flow that agent holds.
  virtual void OnPassedOn(const flow_key& flow, std::string_view datagram,
                          absl::Time now) = 0;

  /// Does what is due and returns when it wants to be called next.
  virtual absl::Time OnTick(absl::Time now) = 0;

  virtual carrier_load Load() const = 0;

  /// Takes no new work from now on.
  virtual void BeginDrain(absl::Time now) = 0;

  /// Removes a flow and returns what its next holder needs to go on with it;
  /// nothing while the flow has a request in flight.
  virtual std::optional<std::string> ExportFlow(const flow_key& flow,
                                                absl::Time now) = 0;

  /// Goes on with a flow that another agent exported.
  virtual void ImportFlow(const flow_key& flow, std::string_view state,
                          absl::Time now) = 0;

  /// Forgets a flow that another agent holds.
  virtual void DropFlow(const flow_key& flow, absl::Time now) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_FLOW_CARRIER_H_
