#include "flows/opening_queue.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cardamomroute {
namespace {

bool GoesBefore(const waiting_opening& a, const waiting_opening& b) {
  return std::make_tuple(a.urgency, b.came_at) <
         std::make_tuple(b.urgency, a.came_at);
}

}  // namespace

std::optional<waiting_opening> opening_queue::Add(waiting_opening opening) {
  const auto copy = std::find_if(
      waiting_.begin(), waiting_.end(),
      [&](const waiting_opening& other) { return other.flow == opening.flow; });
  if (copy != waiting_.end()) {
    opening.came_at = copy->came_at;
    opening.give_up_at = copy->give_up_at;
    *copy = std::move(opening);
    return std::nullopt;
  }
  waiting_.push_back(std::move(opening));
  if (waiting_.size() <= most_) {
    return std::nullopt;
  }
  const auto last =
      std::max_element(waiting_.begin(), waiting_.end(), &GoesBefore);
  waiting_opening displaced = std::move(*last);
  waiting_.erase(last);
  return displaced;
}

std::optional<waiting_opening> opening_queue::TakeNext() {
  const auto next =
      std::min_element(waiting_.begin(), waiting_.end(), &GoesBefore);
  if (next == waiting_.end()) {
    return std::nullopt;
  }
  waiting_opening taken = std::move(*next);
  waiting_.erase(next);
  return taken;
}

std::vector<waiting_opening> opening_queue::TakeExpired(absl::Time now) {
  const auto expired = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [now](const waiting_opening& item) { return now < item.give_up_at; });
  std::vector<waiting_opening> taken(std::make_move_iterator(expired),
                                     std::make_move_iterator(waiting_.end()));
  waiting_.erase(expired, waiting_.end());
  return taken;
}

std::vector<waiting_opening> opening_queue::TakeAll() {
  return std::exchange(waiting_, {});
}

bool opening_queue::Has(const flow_id& flow) const {
  return std::any_of(
      waiting_.begin(), waiting_.end(),
      [&](const waiting_opening& item) { return item.flow == flow; });
}

absl::Time opening_queue::NextDeadline() const {
  absl::Time next = absl::InfiniteFuture();
  for (const waiting_opening& item : waiting_) {
    next = std::min(next, item.give_up_at);
  }
  return next;
}

}  // namespace cardamomroute
