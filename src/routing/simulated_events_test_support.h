#ifndef CARDAMOMROUTE_ROUTING_SIMULATED_EVENTS_TEST_SUPPORT_H_
#define CARDAMOMROUTE_ROUTING_SIMULATED_EVENTS_TEST_SUPPORT_H_

#include <functional>
#include <map>

#include "absl/time/time.h"

namespace cardamomroute {

/// Events in simulated time; those of one moment run in the order in which
/// they were added.
class simulated_events {
 public:
  explicit simulated_events(absl::Time start) : now_(start) {}

  absl::Time now() const { return now_; }
  void At(absl::Time when, std::function<void()> event);
  /// Runs all events up to and including `end`, which then is now.
  void RunUntil(absl::Time end);

 private:
  absl::Time now_;
  std::multimap<absl::Time, std::function<void()>> events_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_SIMULATED_EVENTS_TEST_SUPPORT_H_
