#ifndef CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_

#include "absl/time/time.h"

namespace cardamomroute {

/// Keeps SIGTERM and SIGINT from ending the process; call it before any
/// thread starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// The same until `deadline` of the monotonic clock; false when none came.
bool WaitForStopSignal(absl::Time deadline);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_
