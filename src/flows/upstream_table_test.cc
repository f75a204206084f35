#include "flows/upstream_table.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

#include "flows/holder_search.h"

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

// Pattern: a route had another service for a while, and all processes are
// killed. Its flows were looked for at each upstream of the present service.
BOOST_AUTO_TEST_CASE(LikelyHoldersOfOtherServicesComeBeforeUnlikelyOnes) {
  upstream_table table;
  table.OnUpstreams(Upstreams());
  flow_route present;
  present.shares = {{HashOfService("desk"), 1}};
  flow_route former;
  former.shares = {{HashOfService("intake"), 1}};
  for (uint64_t hash = 1; hash <= 100; ++hash) {
    const std::vector<search_candidate> order =
        table.SearchOrder(hash, present, kStart);
    BOOST_REQUIRE(order.size() == kAll);
    for (size_t i = 0; i < kLikelyHolders; ++i) {
      BOOST_TEST(order[i].agent.ip < kDesks);
    }
    const ipv4_address placed = table.Place(hash, former, {}, kStart);
    size_t place = 0;
    while (order[place].agent != placed) {
      ++place;
    }
    BOOST_TEST(place >= kLikelyHolders);
    BOOST_TEST(place < kLikelyHolders + kPlacementCandidates);
  }
}

BOOST_AUTO_TEST_CASE(UnlikelyHoldersOfOtherServicesComeLast) {
  upstream_table table;
  table.OnUpstreams(Upstreams());
  flow_route route;
  route.shares = {{HashOfService("intake"), 1}};
  const std::vector<search_candidate> order =
      table.SearchOrder(7, route, kStart);
  BOOST_REQUIRE(order.size() == kAll);
  // Fewer than kLikelyHolders, so all of them are likely.
  const size_t intakes = kAll - kDesks;
  for (size_t i = 0; i < order.size(); ++i) {
    BOOST_TEST((order[i].agent.ip >= kDesks) == (i < intakes));
  }
}

// Pattern: all processes are killed. Agents have not heard their upstreams yet,
// which hold flows.
BOOST_AUTO_TEST_CASE(OnlyAnUpstreamThatHasEndedIsAnUnlikelyHolder) {
  upstream_table table;
  std::vector<known_upstream> known = Upstreams();
  table.OnUpstreams(known);
  const std::vector<search_candidate> before =
      table.SearchOrder(7, SplitRoute(), kStart);
  const ipv4_address first = before[0].agent;
  known[first.ip].state = upstream_state::kAbsent;
  table.OnUpstreams(known);
  BOOST_TEST((table.SearchOrder(7, SplitRoute(), kStart)[0].agent == first));
  known[first.ip].state = upstream_state::kEnded;
  table.OnUpstreams(known);
  BOOST_TEST((table.SearchOrder(7, SplitRoute(), kStart)[0].agent != first));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
