#include "routing/route_table.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <vector>

#include "routing/flow_key.h"
#include "view/view_codec.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kZones = 3;

std::vector<route_target> MakeTargets(const std::vector<uint16_t>& ids) {
  std::vector<route_target> targets;
  for (const uint16_t id : ids) {
    route_target item;
    item.id = 1ULL + id;
    item.zone_hash = id % kZones;
    item.state = id % 5 == 0 ? target_state::kDraining : target_state::kServing;
    targets.push_back(item);
  }
  return targets;
}

rc::Gen<std::vector<uint16_t>> Ids() {
  return rc::gen::unique<std::vector<uint16_t>>(
      rc::gen::inRange<uint16_t>(0, 200));
}

RC_BOOST_PROP(OneTargetMoreTakesOnlyItsOwnShare, (uint64_t flow_hash)) {
  const auto ids = *Ids();
  const service_routes before(MakeTargets(ids));
  std::vector<route_target> targets = MakeTargets(ids);
  route_target joined;
  joined.id = 1000;
  targets.push_back(joined);
  const target_id home = service_routes(targets).Home(flow_hash);
  const bool served_before = before.serving_count() != 0;
  RC_ASSERT(home == joined.id ||
            (served_before && home == before.Home(flow_hash)));
}

RC_BOOST_PROP(HomesAndCandidatesServeInDifferentZones, (uint64_t flow_hash)) {
  const service_routes routes(MakeTargets(*Ids()));
  const target_id home = routes.Home(flow_hash);
  const target_id candidate = routes.Candidate(flow_hash, home);
  RC_ASSERT((home == 0) == routes.targets().empty());
  RC_ASSERT((candidate == 0) == (routes.serving_count() < 2));
  if (routes.serving_count() == 0) {
    return;
  }
  const route_target* home_target = routes.Find(home);
  RC_ASSERT(home_target->state == target_state::kServing);
  if (candidate == 0) {
    return;
  }
  const route_target* candidate_target = routes.Find(candidate);
  RC_ASSERT(candidate != home);
  RC_ASSERT(candidate_target->state == target_state::kServing);
  const bool has_other_zone =
      std::any_of(routes.targets().begin(), routes.targets().end(),
                  [&](const route_target& item) {
                    return item.state == target_state::kServing &&
                           item.zone_hash != home_target->zone_hash;
                  });
  RC_ASSERT(!has_other_zone ||
            candidate_target->zone_hash != home_target->zone_hash);
}

BOOST_AUTO_TEST_CASE(SharesAreEven) {
  constexpr uint32_t kTargets = 7;
  constexpr uint32_t kFlows = 70000;
  std::vector<uint16_t> ids;
  for (uint16_t id = 1; ids.size() < kTargets; ++id) {
    ids.push_back(static_cast<uint16_t>(5 * id + 1));
  }
  const service_routes routes(MakeTargets(ids));
  std::map<target_id, uint32_t> flows;
  flow_key flow;
  flow.service = 1;
  for (uint32_t i = 0; i < kFlows; ++i) {
    flow.caller.port = static_cast<uint16_t>(i);
    flow.caller.ip[15] = static_cast<uint8_t>(i >> 16);
    ++flows[routes.Home(HashOf(flow))];
  }
  for (const auto& [id, count] : flows) {
    BOOST_TEST(count > 9600U);
    BOOST_TEST(count < 10400U);
  }
}

/// Three services; which targets there are depends on the bits of `seed`.
view MakeView(uint64_t version, uint32_t seed) {
  view result;
  result.version = version;
  for (service_id id = 1; id <= 3; ++id) {
    service item;
    item.id = id;
    item.address.port = static_cast<uint16_t>(id + seed % 3);
    result.services.push_back(item);
  }
  for (target_id id = 1; id <= 16; ++id) {
    target item;
    item.id = id;
    item.service = static_cast<service_id>(1 + id % 3);
    item.state = static_cast<target_state>(seed >> (id + 7) & 1);
    if ((seed >> id & 1) != 0) {
      result.targets.push_back(item);
    }
  }
  return result;
}

RC_BOOST_PROP(ChangesLeadToTheSameTableAsTheWholeView,
              (const std::vector<uint32_t>& seeds, uint64_t flow_hash)) {
  route_table by_changes;
  view last;
  route_table previous;
  for (const uint32_t seed : seeds) {
    const view next = MakeView(last.version + 1, seed);
    RC_ASSERT(by_changes.Apply(DecodeDelta(MakeDelta(last, next)).value()));
    RC_ASSERT(!by_changes.Apply(DecodeDelta(MakeDelta(last, next)).value()));
    route_table whole;
    RC_ASSERT(whole.Apply(DecodeDelta(MakeDelta(view{}, next)).value()));
    for (const service& item : next.services) {
      RC_ASSERT(by_changes.FindServiceAt(item.address) == item.id);
      RC_ASSERT(by_changes.Find(item.id)->Home(flow_hash) ==
                whole.Find(item.id)->Home(flow_hash));
      if (last.version != 0) {
        RC_ASSERT(by_changes.FindPrevious(item.id)->Home(flow_hash) ==
                  previous.Find(item.id)->Home(flow_hash));
      }
    }
    for (target_id id = 1; id <= 16; ++id) {
      RC_ASSERT((by_changes.FindTarget(id) != nullptr) ==
                (next.FindTarget(id) != nullptr));
    }
    previous = whole;
    last = next;
  }
}

}  // namespace
}  // namespace cardamomroute
