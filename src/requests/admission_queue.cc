#include "requests/admission_queue.h"

#include <algorithm>

namespace cardamomroute {

admission_queue::ordered_requests& admission_queue::LaneOf(
    const queued_request& request) {
  return lanes_[request.resumed ? kClasses
                                : static_cast<size_t>(request.urgency)];
}

void admission_queue::Push(const queued_request& request) {
  LaneOf(request).insert(request);
  index_.emplace(request.id, request);
  bounded_size_ += CountsTowardsBound(request) ? 1 : 0;
}

void admission_queue::RemoveFromIndex(const queued_request& request) {
  bounded_size_ -= CountsTowardsBound(request) ? 1 : 0;
  index_.erase(request.id);
}

size_t admission_queue::NextLane() {
  if (!lanes_[kClasses].empty()) {
    return kClasses;
  }
  size_t chosen = kClasses;
  for (size_t lane = kClasses; lane-- > 0;) {
    const bool is_starved = skips_[lane] >= kMaxSkips;
    const bool chosen_is_starved =
        chosen < kClasses && skips_[chosen] >= kMaxSkips;
    if (!lanes_[lane].empty() && (is_starved || !chosen_is_starved)) {
      chosen = lane;
    }
  }
  return chosen;
}

std::optional<queued_request> admission_queue::PopNext() {
  if (empty()) {
    return std::nullopt;
  }
  const size_t lane = NextLane();
  if (lane < kClasses) {
    for (size_t lower = 0; lower < kClasses; ++lower) {
      const bool is_skipped = lower > lane && !lanes_[lower].empty();
      skips_[lower] = lower == lane ? 0 : skips_[lower] + (is_skipped ? 1 : 0);
    }
  }
  const queued_request next = *lanes_[lane].begin();
  lanes_[lane].erase(lanes_[lane].begin());
  RemoveFromIndex(next);
  return next;
}

std::optional<queued_request> admission_queue::PopLastAfter(
    call_class urgency, absl::Time deadline) {
  const auto own = static_cast<size_t>(urgency);
  for (size_t lane = kClasses; lane-- > own;) {
    const ordered_requests& waiting = lanes_[lane];
    const auto last =
        std::find_if(waiting.rbegin(), waiting.rend(), CountsTowardsBound);
    if (last == waiting.rend()) {
      continue;
    }
    if (lane == own && last->deadline <= deadline) {
      return std::nullopt;
    }
    const queued_request taken = *last;
    Erase(taken.id);
    return taken;
  }
  return std::nullopt;
}

bool admission_queue::Erase(uint64_t id) {
  const auto it = index_.find(id);
  if (it == index_.end()) {
    return false;
  }
  const queued_request request = it->second;
  LaneOf(request).erase(request);
  RemoveFromIndex(request);
  return true;
}

std::vector<queued_request> admission_queue::RequestsAhead(
    call_class urgency, absl::Time deadline) const {
  std::vector<queued_request> ahead(lanes_[kClasses].begin(),
                                    lanes_[kClasses].end());
  const auto own = static_cast<size_t>(urgency);
  for (size_t lane = 0; lane < own; ++lane) {
    ahead.insert(ahead.end(), lanes_[lane].begin(), lanes_[lane].end());
  }
  for (const queued_request& request : lanes_[own]) {
    if (request.deadline > deadline) {
      break;
    }
    ahead.push_back(request);
  }
  return ahead;
}

std::vector<queued_request> admission_queue::All() const {
  std::vector<queued_request> all;
  for (const ordered_requests& lane : lanes_) {
    all.insert(all.end(), lane.begin(), lane.end());
  }
  return all;
}

}  // namespace cardamomroute
