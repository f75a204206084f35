#include "requests/timer_queue.h"

namespace cardamomroute {

void timer_queue::Set(timer_key key, absl::Time at) {
  Cancel(key);
  deadlines_.emplace(key, at);
  ordered_.emplace(at, key);
}

void timer_queue::Cancel(timer_key key) {
  const auto it = deadlines_.find(key);
  if (it != deadlines_.end()) {
    ordered_.erase({it->second, key});
    deadlines_.erase(it);
  }
}

void timer_queue::SetEarlier(timer_key key, absl::Time at) {
  const auto it = deadlines_.find(key);
  if (it == deadlines_.end() || at < it->second) {
    Set(key, at);
  }
}

absl::Time timer_queue::Next() const {
  return ordered_.empty() ? absl::InfiniteFuture() : ordered_.begin()->first;
}

std::optional<timer_key> timer_queue::PopDue(absl::Time now) {
  if (Next() > now) {
    return std::nullopt;
  }
  const timer_key key = ordered_.begin()->second;
  Cancel(key);
  return key;
}

}  // namespace cardamomroute
