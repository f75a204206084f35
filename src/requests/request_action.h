#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "requests/request_decision.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// Identifies a leg: a UDP socket to the upstream with its own local port.
/// Never reused within an incarnation. 0 means no leg.
using leg_id = uint32_t;

/// Sends a datagram to the caller of a flow.
struct send_to_caller {
  flow_key flow;
  std::string datagram;
};

/// Sends a datagram to the upstream over an open leg.
struct send_to_upstream {
  leg_id leg = 0;
  std::string datagram;
};

/// Opens a leg on a new local port.
struct open_leg {
  leg_id leg = 0;
};

/// Closes a leg. Datagrams that arrive on it later are dropped.
struct close_leg {
  leg_id leg = 0;
};

/// Reports, while draining, that a flow has nothing in flight and can be
/// exported.
struct flow_idle {
  flow_key flow;
};

/// Reports that a flow was removed after its idle timeout.
struct flow_closed {
  flow_key flow;
};

/// Forwards a caller's datagram to the agent with the target id `holder`.
struct forward_to_holder {
  flow_key flow;
  target_id holder = 0;
  std::string datagram;
};

/// An action that the owner of a request_core must perform.
using request_action =
    std::variant<send_to_caller, send_to_upstream, open_leg, close_leg,
                 flow_idle, flow_closed, forward_to_holder, request_decision>;
/// Actions in the order in which they must be performed.
using request_actions = std::vector<request_action>;

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_ACTION_H_
