#ifndef CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_

#include <cstdint>

#include "absl/time/time.h"

namespace cardamomroute {

/// Keeps SIGTERM, SIGINT and SIGHUP from ending the process; call it before any
/// thread starts.
void BlockStopSignals();

/// Waits for SIGTERM or SIGINT.
void WaitForStopSignal();

/// The same until `deadline` of SteadyNow; false when none came.
bool WaitForStopSignal(absl::Time deadline);

/// What another process or the operator asks for by a signal.
enum class process_signal : uint8_t {
  kNone,
  /// SIGTERM or SIGINT.
  kStop,
  /// SIGHUP: the settings have changed.
  kReload,
};

/// Waits for a signal until `deadline` of SteadyNow.
process_signal WaitForSignal(absl::Time deadline);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_STOP_SIGNAL_H_
