#include "cardamomroute/submission_queue.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <deque>
#include <string>

namespace cardamomroute {
namespace {

constexpr char kAskAgain[] = "ask again in ";

inner::operator_request TextOf(size_t bytes) {
  inner::operator_request request;
  request.set_text(std::string(bytes, 'x'));
  return request;
}

/// Texts come out in the order in which they were taken; what waits is
/// bounded, but for one text of any size; who is refused is told when there is
/// room again.
RC_BOOST_PROP(WhatWaitsIsInOrderAndBounded, ()) {
  submission_queue queue;
  absl::Time now = absl::FromUnixSeconds(1000);
  std::deque<size_t> waiting;
  size_t waiting_bytes = 0;
  for (int step = 0; step < 25; ++step) {
    now += absl::Milliseconds(*rc::gen::inRange(0, 500));
    if (*rc::gen::inRange(0, 3) > 0) {
      const size_t bytes =
          *rc::gen::element<size_t>(1, 1 << 10, 2 << 20, kMaxWaitingBytes + 1);
      const bool fits = waiting.size() < kMaxWaitingTexts &&
                        waiting_bytes + bytes <= kMaxWaitingBytes;
      const auto put = queue.Put(std::to_string(bytes), TextOf(bytes), now);
      RC_ASSERT(put.has_value() == (fits || waiting.empty()));
      if (put.has_value()) {
        waiting.push_back(bytes);
        waiting_bytes += bytes;
      } else {
        RC_ASSERT(put.error().kind == error_kind::kBusy);
        RC_ASSERT(put.error().detail.find(kAskAgain) != std::string::npos);
        RC_ASSERT(queue.DoneAt(now) > now);
      }
    } else {
      queue.Finish(now);
      const auto next = queue.Take(now);
      RC_ASSERT(next.has_value() == !waiting.empty());
      if (next.has_value()) {
        RC_ASSERT(next->client == std::to_string(waiting.front()));
        waiting_bytes -= waiting.front();
        waiting.pop_front();
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(TheTimeToAskAgainFollowsWhatWasMeasured) {
  submission_queue queue;
  absl::Time now = absl::FromUnixSeconds(1000);
  for (int i = 0; i < 20; ++i) {
    BOOST_REQUIRE(queue.Put("a", TextOf(1 << 20), now).has_value());
    queue.Take(now);
    now += absl::Seconds(1);
    queue.Finish(now);
  }
  BOOST_REQUIRE(queue.Put("a", TextOf(1 << 20), now).has_value());
  BOOST_REQUIRE(queue.Put("b", TextOf(1 << 20), now).has_value());
  queue.Take(now);
  now += absl::Milliseconds(500);
  const absl::Duration left = queue.DoneAt(now) - now;
  BOOST_TEST(absl::ToDoubleSeconds(left) == 1.5,
             boost::test_tools::tolerance(0.01));
}

}  // namespace
}  // namespace cardamomroute
