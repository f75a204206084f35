#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "requests/request_decision.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// Names a leg: a UDP socket from a local port of its own to the upstream.
/// Never reused within an incarnation. 0 is no leg.
using leg_id = uint32_t;

/// Send a datagram to the caller of a flow.
struct send_to_caller {
  flow_key flow;
  std::string datagram;
};

/// Send a datagram to the upstream over a leg that is open.
struct send_to_upstream {
  leg_id leg = 0;
  std::string datagram;
};

/// Open a leg from a fresh local port.
struct open_leg {
  leg_id leg = 0;
};

/// Close a leg; what still arrives on it is dropped.
struct close_leg {
  leg_id leg = 0;
};

/// While draining: the flow has no request in flight and may be exported.
struct flow_idle {
  flow_key flow;
};

/// The flow has been forgotten after long disuse.
struct flow_closed {
  flow_key flow;
};

/// Hand a caller's datagram to the agent of another incarnation.
struct forward_to_holder {
  flow_key flow;
  target_id holder = 0;
  std::string datagram;
};

/// What the shell of a request core has to do, in this order.
using request_action =
    std::variant<send_to_caller, send_to_upstream, open_leg, close_leg,
                 flow_idle, flow_closed, forward_to_holder, request_decision>;
using request_actions = std::vector<request_action>;

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_
