#include "view/view_codec.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "view/view_test_support.h"

namespace cardamomroute {
namespace {

template <typename Items>
bool IsSortedById(const Items& items) {
  return std::adjacent_find(items.begin(), items.end(),
                            [](const auto& a, const auto& b) {
                              return a.id >= b.id;
                            }) == items.end();
}

RC_BOOST_PROP(DeltaLeadsFromOneViewToTheOther, (uint64_t a, uint64_t b)) {
  const view from = RandomView(a, 3);
  const view to = RandomView(b, 4);
  RC_ASSERT(ApplyDelta(from, MakeDelta(from, to)).value() == to);
  RC_ASSERT(ApplyDelta(from, MakeDelta(view{}, to)).value() == to);
  const inner::view_delta none = MakeDelta(from, from);
  RC_ASSERT(
      none.services_size() + none.targets_size() + none.balancers_size() == 0);
}

RC_BOOST_PROP(RefusesWrongBasesAndOlderVersions, (uint64_t a, uint64_t b)) {
  const view base = RandomView(a, 5);
  const view next = RandomView(b, 6);
  for (const view& other : {RandomView(b, 4), RandomView(b, 6)}) {
    view current = other;
    auto change = DecodeDelta(MakeDelta(base, next)).value();
    const auto applied = ApplyChange(&current, change);
    RC_ASSERT(applied.has_error());
    RC_ASSERT(applied.error().kind == error_kind::kStaleView);
    RC_ASSERT(current == other);
  }
  RC_ASSERT(ApplyDelta(next, MakeDelta(view{}, base)).has_error());
  RC_ASSERT(ApplyDelta(next, MakeDelta(view{}, next)).value() == next);
}

BOOST_AUTO_TEST_CASE(RefusesIdsThatDoNotRiseAndUnknownEnumerators) {
  const auto is_malformed = [](const inner::view_delta& delta) {
    const auto decoded = DecodeDelta(delta);
    return decoded.has_error() &&
           decoded.error().kind == error_kind::kMalformedMessage;
  };
  inner::view_delta sound = MakeDelta(view{}, RandomView(1, 2));
  BOOST_REQUIRE(sound.targets_size() > 1);
  BOOST_TEST(!is_malformed(sound));
  inner::view_delta twice = sound;
  twice.mutable_targets(1)->set_id(twice.targets(0).id());
  BOOST_TEST(is_malformed(twice));
  inner::view_delta swapped = sound;
  swapped.mutable_targets()->SwapElements(0, 1);
  BOOST_TEST(is_malformed(swapped));
  inner::view_delta zero = sound;
  zero.add_removed_targets(0);
  BOOST_TEST(is_malformed(zero));
  inner::view_delta state = sound;
  state.mutable_targets(0)->set_state(9);
  BOOST_TEST(is_malformed(state));
  inner::view_delta address = sound;
  address.mutable_targets(0)->set_agent("nowhere");
  BOOST_TEST(is_malformed(address));
  inner::view_delta versions = sound;
  versions.set_from_version(3);
  BOOST_TEST(is_malformed(versions));
}

RC_BOOST_PROP(DamagedDeltasDoNoHarm,
              (uint64_t a, uint64_t b, const std::vector<uint32_t>& damage)) {
  const view from = RandomView(a, 3);
  std::string bytes = MakeDelta(from, RandomView(b, 4)).SerializeAsString();
  for (const uint32_t item : damage) {
    bytes[item % bytes.size()] = static_cast<char>(item >> 24);
  }
  inner::view_delta delta;
  if (!delta.ParseFromString(bytes)) {
    return;
  }
  const result<view> applied = ApplyDelta(from, delta);
  if (applied) {
    RC_ASSERT(applied.value().version >= from.version);
    RC_ASSERT(IsSortedById(applied.value().services));
    RC_ASSERT(IsSortedById(applied.value().targets));
    RC_ASSERT(IsSortedById(applied.value().balancers));
  }
}

RC_BOOST_PROP(StampsTellWhichChangeFollowedWhich,
              (const std::vector<uint64_t>& seeds)) {
  view before;
  for (const uint64_t seed : seeds) {
    view after = RandomView(seed, before.version + 1);
    StampChanges(before, &after);
    for (const service& item : after.services) {
      const auto targets_of = [&](const view& source) {
        std::vector<std::pair<target_id, target_state>> targets;
        for (const target& candidate : source.targets) {
          if (candidate.service == item.id) {
            targets.emplace_back(candidate.id, candidate.state);
          }
        }
        return targets;
      };
      const service* old_item = before.FindService(item.id);
      const bool is_changed = targets_of(before) != targets_of(after);
      if (old_item == nullptr) {
        RC_ASSERT(item.epoch == after.version);
      } else if (is_changed) {
        RC_ASSERT(item.epoch == after.version);
        RC_ASSERT(item.previous_epoch == old_item->epoch);
      } else {
        RC_ASSERT(item.epoch == old_item->epoch);
        RC_ASSERT(item.previous_epoch == old_item->previous_epoch);
      }
    }
    before = after;
  }
}

}  // namespace
}  // namespace cardamomroute
