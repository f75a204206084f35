#ifndef CARDAMOMROUTE_LOAD_RUN_TIME_H_
#define CARDAMOMROUTE_LOAD_RUN_TIME_H_

#include <cstddef>
#include <ctime>

#include "absl/time/time.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute::load {

/// Processor time that the calling thread has used.
inline absl::Duration ThreadTime() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return absl::DurationFromTimespec(used);
}

/// Microseconds that one call of `work` takes.
template <typename Function>
double Microseconds(Function work) {
  const absl::Time start = SteadyNow();
  work();
  return absl::ToDoubleMicroseconds(SteadyNow() - start);
}

/// Nanoseconds that each of the calls work(0) to work(count - 1) takes, on
/// average.
template <typename Function>
double NanosecondsEach(std::size_t count, Function work) {
  const double total = Microseconds([&] {
    for (std::size_t i = 0; i < count; ++i) {
      work(i);
    }
  });
  return total * 1e3 / static_cast<double>(count);
}

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_RUN_TIME_H_
