#ifndef CARDAMOMROUTE_FLOWS_BALANCER_OUTLET_H_
#define CARDAMOMROUTE_FLOWS_BALANCER_OUTLET_H_

#include "base/ipv4_address.h"
#include "flows/flow_id.h"
#include "inner/flow_datagram.pb.h"

namespace cardamomroute {

/// Where a flow_balancer's packets go. Each may be lost on the way.
class balancer_outlet {
 public:
  virtual ~balancer_outlet() = default;

  virtual void SendToAgent(const ipv4_address& agent,
                           const inner::flow_datagram& datagram) = 0;

  /// Tells the caller that the flow has ended. `sequence` is the next byte that
  /// the caller expects, so that it takes the reset.
  virtual void ResetFlow(const flow_id& flow, uint32_t sequence) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_BALANCER_OUTLET_H_
