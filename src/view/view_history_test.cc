#include "view/view_history.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "view/view_codec.h"
#include "view/view_test_support.h"

namespace cardamomroute {
namespace {

// Control has all versions, a relay gets some of them: whatever a child has,
// also one that the relay has missed, what the relay sends leads it on.
RC_BOOST_PROP(EveryVersionLeadsToThePresentOne, ()) {
  const auto versions = *rc::gen::inRange<uint64_t>(2, 12);
  std::vector<view> views = {view()};
  for (uint64_t version = 1; version <= versions; ++version) {
    views.push_back(RandomView(*rc::gen::arbitrary<uint64_t>(), version));
  }
  const auto max_items = *rc::gen::inRange<std::size_t>(1, 200);
  view_history control(*rc::gen::inRange<std::size_t>(1, 200));
  view_history history(max_items);
  view present;
  for (uint64_t version = 1; version <= versions; ++version) {
    control.Remember(
        DecodeDelta(MakeDelta(views[version - 1], views[version])).value());
    const bool is_missed = version != versions && *rc::gen::inRange(0, 3) == 0;
    if (is_missed) {
      continue;
    }
    const auto change =
        DecodeDelta(control.DeltaFrom(present.version, views[version]));
    RC_ASSERT(change.has_value());
    RC_ASSERT(ApplyChange(&present, change.value()).has_value());
    history.Remember(change.value());
  }
  for (uint64_t have = 0; have <= versions; ++have) {
    const auto led = ApplyDelta(views[have], history.DeltaFrom(have, present));
    RC_ASSERT(led.has_value());
    RC_ASSERT(led.value() == present);
  }
}

BOOST_AUTO_TEST_CASE(ASmallChangeIsASmallDelta) {
  const view before = RandomView(1, 5);
  view after = before;
  after.version = 6;
  after.targets.pop_back();
  view_history history(100);
  history.Remember(DecodeDelta(MakeDelta(view(), before)).value());
  history.Remember(DecodeDelta(MakeDelta(before, after)).value());
  const inner::view_delta delta = history.DeltaFrom(5, after);
  BOOST_TEST(delta.from_version() == 5U);
  BOOST_TEST(delta.targets_size() == 0);
  BOOST_TEST(delta.removed_targets_size() == 1);
  BOOST_TEST(history.DeltaFrom(4, after).from_version() == 0U);
}

}  // namespace
}  // namespace cardamomroute
