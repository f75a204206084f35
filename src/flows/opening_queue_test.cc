#include "flows/opening_queue.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(opening_queue_test)

constexpr absl::Time kStart = absl::UnixEpoch();

absl::Time At(int ms) { return kStart + absl::Milliseconds(ms); }

waiting_opening Opening(uint16_t port, uint32_t urgency, int came_ms,
                        int patience_ms = 1000) {
  waiting_opening opening;
  opening.flow = {{1, port}, {2, 443}};
  opening.urgency = urgency;
  opening.came_at = At(came_ms);
  opening.give_up_at = At(came_ms + patience_ms);
  return opening;
}

std::string Ports(opening_queue* queue) {
  std::string ports;
  while (const auto next = queue->TakeNext()) {
    ports += std::to_string(next->flow.caller.port) + " ";
  }
  return ports;
}

// Pattern: all callers return at once after a fault.
BOOST_AUTO_TEST_CASE(TheLatestOfTheMostUrgentGoesFirst) {
  opening_queue queue(10);
  queue.Add(Opening(1, 2, 0));
  queue.Add(Opening(2, 0, 1));
  queue.Add(Opening(3, 2, 2));
  queue.Add(Opening(4, 0, 3));
  BOOST_TEST(Ports(&queue) == "4 2 3 1 ");
}

BOOST_AUTO_TEST_CASE(ACopyKeepsTheTimesOfTheFirst) {
  opening_queue queue(10);
  queue.Add(Opening(1, 0, 0));
  queue.Add(Opening(2, 0, 100));
  waiting_opening copy = Opening(1, 0, 200);
  copy.bytes = {7};
  queue.Add(copy);
  BOOST_TEST(queue.size() == 2U);
  BOOST_TEST((queue.NextDeadline() == At(1000)));
  queue.TakeNext();
  const auto first = queue.TakeNext();
  BOOST_TEST(first->flow.caller.port == 1);
  BOOST_TEST(first->bytes.size() == 1U);
}

// Pattern: long work ahead of short urgent work.
BOOST_AUTO_TEST_CASE(AFullQueueGivesUpTheOldestOfTheLeastUrgent) {
  opening_queue queue(2);
  BOOST_TEST(!queue.Add(Opening(1, 2, 0)).has_value());
  BOOST_TEST(!queue.Add(Opening(2, 2, 1)).has_value());
  BOOST_TEST(queue.Add(Opening(3, 0, 2))->flow.caller.port == 1);
  BOOST_TEST(queue.Add(Opening(4, 0, 3))->flow.caller.port == 2);
  // Least urgent of all is the one that comes.
  BOOST_TEST(queue.Add(Opening(5, 1, 4))->flow.caller.port == 5);
}

BOOST_AUTO_TEST_CASE(ThoseThatHaveWaitedTooLongAreTakenOut) {
  opening_queue queue(10);
  queue.Add(Opening(1, 0, 0, 300));
  queue.Add(Opening(2, 0, 0, 100));
  BOOST_TEST(queue.TakeExpired(At(99)).empty());
  BOOST_TEST((queue.NextDeadline() == At(100)));
  const auto expired = queue.TakeExpired(At(100));
  BOOST_REQUIRE(expired.size() == 1U);
  BOOST_TEST(expired[0].flow.caller.port == 2);
  BOOST_TEST(queue.TakeAll().size() == 1U);
  BOOST_TEST((queue.NextDeadline() == absl::InfiniteFuture()));
}

RC_BOOST_PROP(EachOpeningLeavesExactlyOnce, ()) {
  opening_queue queue(8);
  int inside = 0;
  for (int i = 0; i < 200; ++i) {
    const auto port = static_cast<uint16_t>(i);
    const auto urgency = *rc::gen::inRange<uint32_t>(0, 3);
    const int patience = *rc::gen::inRange(1, 50);
    inside += queue.Add(Opening(port, urgency, i, patience)) ? 0 : 1;
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        inside -= queue.TakeNext() ? 1 : 0;
        break;
      case 1:
        inside -= static_cast<int>(queue.TakeExpired(At(i)).size());
        break;
      default:
        break;
    }
    RC_ASSERT(queue.size() == static_cast<size_t>(inside));
    RC_ASSERT(queue.size() <= 8U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
