#include "flows/upstream_table.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(upstream_table_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr uint32_t kDesks = 43;
constexpr uint32_t kAll = 54;

std::vector<known_upstream> Upstreams() {
  std::vector<known_upstream> known;
  for (uint32_t i = 0; i < kAll; ++i) {
    known_upstream& item = known.emplace_back();
    item.agent = {i, 7720};
    item.service = i < kDesks ? "desk" : "intake";
    item.state = upstream_state::kServing;
    item.slots = 2;
  }
  return known;
}

flow_route SplitRoute() {
  flow_route route;
  route.shares = {{HashOfService("desk"), 80}, {HashOfService("intake"), 20}};
  return route;
}

// Issue 21: flows of the smaller service stood behind agents of the larger one.
BOOST_AUTO_TEST_CASE(ASearchBeginsWithTheCandidatesOfThePlacement) {
  upstream_table table;
  table.OnUpstreams(Upstreams());
  const flow_route route = SplitRoute();
  std::set<uint64_t> services;
  for (uint64_t hash = 1; hash <= 500; ++hash) {
    const std::vector<search_candidate> order =
        table.SearchOrder(hash, route, kStart);
    BOOST_REQUIRE(order.size() == kAll);
    const ipv4_address placed = table.Place(hash, route, {}, kStart);
    services.insert(table.ServiceOf(placed));
    size_t place = 0;
    while (order[place].agent != placed) {
      ++place;
    }
    BOOST_TEST(place < kPlacementCandidates);
  }
  BOOST_TEST(services.size() == 2U);
}

BOOST_AUTO_TEST_CASE(OtherServicesComeLast) {
  upstream_table table;
  table.OnUpstreams(Upstreams());
  flow_route route;
  route.shares = {{HashOfService("intake"), 1}};
  const std::vector<search_candidate> order =
      table.SearchOrder(7, route, kStart);
  for (size_t i = 0; i < order.size(); ++i) {
    BOOST_TEST((order[i].agent.ip >= kDesks) == (i < kAll - kDesks));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
