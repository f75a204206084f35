#include "requests/admission_queue.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <vector>

#include "requests/retry_after_schedule.h"

namespace cardamomroute {
namespace {

constexpr size_t kBound = 40;

absl::Time Moment(int64_t ms) { return absl::FromUnixMillis(ms); }

queued_request AnyRequest(uint64_t id) {
  queued_request request;
  request.id = id;
  request.urgency = static_cast<call_class>(*rc::gen::inRange(0, 3));
  request.deadline = Moment(*rc::gen::inRange(0, 1000));
  return request;
}

// Reference model of the queue: the waiting requests by class.
struct waiting_model {
  std::array<std::vector<queued_request>, 3> lanes;

  void Add(const queued_request& request) {
    lanes[static_cast<size_t>(request.urgency)].push_back(request);
  }
  bool IsEarliestOfItsClass(const queued_request& request) const {
    const auto& lane = lanes[static_cast<size_t>(request.urgency)];
    return std::all_of(lane.begin(), lane.end(), [&](const auto& other) {
      return request.deadline <= other.deadline;
    });
  }
  bool HasHigher(const queued_request& request) const {
    for (size_t i = 0; i < static_cast<size_t>(request.urgency); ++i) {
      if (!lanes[i].empty()) {
        return true;
      }
    }
    return false;
  }
  void Remove(const queued_request& request) {
    auto& lane = lanes[static_cast<size_t>(request.urgency)];
    lane.erase(std::find_if(lane.begin(), lane.end(), [&](const auto& other) {
      return other.id == request.id;
    }));
  }
};

}  // namespace

RC_BOOST_PROP(pops_by_class_then_deadline_without_starvation, ()) {
  admission_queue queue(kBound);
  waiting_model model;
  std::array<int, 3> skips{};
  uint64_t next_id = 1;
  for (int step = 0; step < 200; ++step) {
    if (!queue.IsFull() && *rc::gen::inRange(0, 100) < 60) {
      const queued_request request = AnyRequest(next_id++);
      queue.Push(request);
      model.Add(request);
      continue;
    }
    const auto next = queue.PopNext();
    if (!next) {
      RC_ASSERT(queue.empty());
      continue;
    }
    const auto lane = static_cast<size_t>(next->urgency);
    RC_ASSERT(model.IsEarliestOfItsClass(*next));
    // A lower class may go first only after kMaxSkips consecutive skips.
    if (model.HasHigher(*next)) {
      RC_ASSERT(skips[lane] >= admission_queue::kMaxSkips);
    }
    model.Remove(*next);
    skips[lane] = 0;
    for (size_t lower = lane + 1; lower < 3; ++lower) {
      skips[lower] += model.lanes[lower].empty() ? 0 : 1;
    }
    for (const int skipped : skips) {
      RC_ASSERT(skipped <= 2 * admission_queue::kMaxSkips);
    }
  }
}

RC_BOOST_PROP(displaces_only_lower_class_or_later_deadline, ()) {
  admission_queue queue(kBound);
  waiting_model model;
  const int count = *rc::gen::inRange(0, 30);
  for (int i = 0; i < count; ++i) {
    const queued_request request = AnyRequest(i + 1);
    queue.Push(request);
    model.Add(request);
  }
  const queued_request arrival = AnyRequest(1000);
  const auto displaced = queue.PopLastAfter(arrival.urgency, arrival.deadline);
  const auto own = static_cast<size_t>(arrival.urgency);
  if (displaced) {
    const auto lane = static_cast<size_t>(displaced->urgency);
    RC_ASSERT(lane > own ||
              (lane == own && displaced->deadline > arrival.deadline));
    RC_ASSERT(queue.size() == static_cast<size_t>(count - 1));
  } else {
    for (size_t lane = own; lane < 3; ++lane) {
      for (const auto& request : model.lanes[lane]) {
        RC_ASSERT(lane == own && request.deadline <= arrival.deadline);
      }
    }
  }
}

RC_BOOST_PROP(retries_are_spread_at_the_service_rate, ()) {
  retry_after_schedule schedule(*rc::gen::arbitrary<uint64_t>());
  const auto run = absl::Milliseconds(*rc::gen::inRange(5, 200));
  const auto backlog = absl::Milliseconds(*rc::gen::inRange(0, 5000));
  const int rejected = *rc::gen::inRange(1, 400);
  const auto longest = absl::Seconds(*rc::gen::inRange(1, 61));
  std::array<int, 61> returns{};
  for (int i = 0; i < rejected; ++i) {
    const uint32_t max_age =
        schedule.NextMaxAge(Moment(0) + backlog, run, longest, Moment(0));
    RC_ASSERT(max_age >= 1U && max_age <= 60U);
    RC_ASSERT(absl::Seconds(max_age) <= std::max(longest, absl::Seconds(3)));
    RC_ASSERT(absl::Seconds(max_age + 1) > std::min(backlog, longest / 1.5));
    ++returns[max_age];
  }
  // Twice the service rate, plus a margin for random clustering.
  const double rate = absl::FDivDuration(absl::Seconds(1), run);
  const int most = *std::max_element(returns.begin(), returns.end());
  const bool within_range = backlog + run * rejected < longest / 1.5;
  if (within_range) {
    RC_ASSERT(most <= 2 * rate + 15);
  }
}

}  // namespace cardamomroute
