#include "cardamomroute/wake_signal.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>

namespace cardamomroute {

wake_signal::wake_signal() : fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {}

wake_signal::~wake_signal() { close(fd_); }

void wake_signal::Raise() {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t put = write(fd_, &one, sizeof(one));
}

void wake_signal::Clear() {
  uint64_t count = 0;
  [[maybe_unused]] const ssize_t got = read(fd_, &count, sizeof(count));
}

}  // namespace cardamomroute
