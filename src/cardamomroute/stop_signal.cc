#include "cardamomroute/stop_signal.h"

#include <pthread.h>

#include <algorithm>
#include <csignal>

#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

// sigtimedwait takes no longer one everywhere.
constexpr absl::Duration kLongestSignalWait = absl::Hours(1);

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  while (WaitForSignal(absl::InfiniteFuture()) != process_signal::kStop) {
  }
}

bool WaitForStopSignal(absl::Time deadline) {
  process_signal received = process_signal::kReload;
  while (received == process_signal::kReload) {
    received = WaitForSignal(deadline);
  }
  return received == process_signal::kStop;
}

process_signal WaitForSignal(absl::Time deadline) {
  const sigset_t signals = StopSignals();
  const absl::Duration left = std::clamp(
      deadline - SteadyNow(), absl::ZeroDuration(), kLongestSignalWait);
  const timespec wait = absl::ToTimespec(left);
  const int received = sigtimedwait(&signals, nullptr, &wait);
  if (received <= 0) {
    return process_signal::kNone;
  }
  return received == SIGHUP ? process_signal::kReload : process_signal::kStop;
}

}  // namespace cardamomroute
