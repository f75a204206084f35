#include "view/node_lease.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

RC_BOOST_PROP(LastsFromTheLastTimeOfAskingWhileNotBehind, ()) {
  const absl::Time start = absl::FromUnixSeconds(1'800'000'000);
  node_lease lease;
  absl::Time expected = absl::InfinitePast();
  const int hearings = *rc::gen::inRange(1, 20);
  for (int i = 0; i < hearings; ++i) {
    const uint64_t own = *rc::gen::inRange<uint64_t>(0, 3);
    const uint64_t current = *rc::gen::inRange<uint64_t>(0, 3);
    const absl::Time asked_at =
        start + absl::Milliseconds(*rc::gen::inRange(0, 9000));
    lease.OnHeard(own, current, asked_at);
    if (own != 0 && own >= current) {
      expected = std::max(expected, asked_at + kNodeLease);
    }
    RC_ASSERT(lease.valid_until() == expected);
    RC_ASSERT(!lease.IsValid(expected));
    RC_ASSERT(lease.IsValid(expected - absl::Nanoseconds(1)) ==
              (expected != absl::InfinitePast()));
  }
}

}  // namespace
}  // namespace cardamomroute
