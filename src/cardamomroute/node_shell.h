#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_SHELL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_SHELL_H_

#include "base/result.h"
#include "base/settings.h"

namespace cardamomroute {

/// Runs a balancer until a stop signal, then keeps forwarding while packets
/// still come. Fails with kIoFailed when a socket cannot be opened.
result<void> RunBalancer(const settings& configured);

/// Runs an agent until a stop signal, then hands its flows over. Fails with
/// kIoFailed when a socket cannot be opened.
result<void> RunAgent(const settings& configured);

/// Runs a control process until a stop signal. Fails with kIoFailed when it
/// cannot listen.
result<void> RunControl(const settings& configured);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_SHELL_H_
