#include "routing/simulated_events_test_support.h"

#include <utility>

namespace cardamomroute {

void simulated_events::At(absl::Time when, std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

void simulated_events::RunUntil(absl::Time end) {
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto event = events_.extract(events_.begin());
    now_ = event.key();
    event.mapped()();
  }
  now_ = end;
}

}  // namespace cardamomroute
