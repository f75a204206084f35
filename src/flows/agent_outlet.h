#ifndef CARDAMOMROUTE_FLOWS_AGENT_OUTLET_H_
#define CARDAMOMROUTE_FLOWS_AGENT_OUTLET_H_

#include <cstdint>

#include "absl/types/span.h"
#include "base/ipv4_address.h"
#include "flows/flow_id.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// Where a flow_agent's packets go. Each may be lost on the way.
class agent_outlet {
 public:
  virtual ~agent_outlet() = default;

  /// To the upstream, with a mark that it leaves in the packet if it hands it
  /// back.
  virtual void SendToUpstream(absl::Span<const uint8_t> bytes,
                              uint32_t mark) = 0;

  /// To the caller, past the balancers.
  virtual void SendToCaller(const flow_id& flow,
                            absl::Span<const uint8_t> bytes) = 0;

  virtual void SendToBalancer(const ipv4_address& balancer,
                              const inner::flow_datagram& datagram) = 0;

  /// Tells the caller that the flow has ended. `sequence` is the next byte that
  /// the caller expects, so that it takes the reset.
  virtual void ResetFlow(const flow_id& flow, uint32_t sequence) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_AGENT_OUTLET_H_
