#include "cardamomroute/stop_signal.h"

#include <pthread.h>

#include <algorithm>
#include <csignal>

#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void WaitForStopSignal() {
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
}

bool WaitForStopSignal(absl::Time deadline) {
  const sigset_t signals = StopSignals();
  const absl::Duration left =
      std::max(deadline - SteadyNow(), absl::ZeroDuration());
  const timespec wait = absl::ToTimespec(left);
  return sigtimedwait(&signals, nullptr, &wait) > 0;
}

}  // namespace cardamomroute
