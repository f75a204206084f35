#include "view/view_filter.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "view/view_codec.h"
#include "view/view_history.h"
#include "view/view_test_support.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kHistoryItems = 1000;

BOOST_AUTO_TEST_CASE(AFilteredViewHasOneServiceItsTargetsAndAllBalancers) {
  const view whole = RandomView(1, 5);
  const service& wanted = whole.services.front();
  const view filtered = FilterView(whole, wanted.name);
  BOOST_TEST(filtered.version == 5U);
  BOOST_TEST(filtered.services.size() == 1U);
  BOOST_TEST((filtered.services.front() == wanted));
  BOOST_TEST((filtered.balancers == whole.balancers));
  std::size_t targets = 0;
  for (const target& item : whole.targets) {
    targets += item.service == wanted.id ? 1 : 0;
    const bool has = filtered.FindTarget(item.id) != nullptr;
    BOOST_TEST(has == (item.service == wanted.id));
  }
  BOOST_TEST(filtered.targets.size() == targets);
  BOOST_TEST(FilterView(whole, "none").services.empty());
  BOOST_TEST(FilterView(whole, "none").targets.empty());
}

BOOST_AUTO_TEST_CASE(AChangeOfOtherServicesIsEmptyButMovesTheVersion) {
  const view before = RandomView(1, 5);
  view after = before;
  after.version = 6;
  const std::string wanted = after.services.front().name;
  after.services.back().calls.emplace_back();
  for (target& item : after.targets) {
    item.slots += item.service == after.services.back().id ? 1 : 0;
  }
  view_history history(kHistoryItems);
  history.Remember(DecodeDelta(MakeDelta(view(), before)).value());
  history.Remember(DecodeDelta(MakeDelta(before, after)).value());
  BOOST_TEST(history.DeltaFrom(5, after).targets_size() > 0);
  const inner::view_delta delta = history.DeltaFrom(5, after, wanted);
  BOOST_TEST(delta.service() == wanted);
  BOOST_TEST(delta.services_size() == 0);
  BOOST_TEST(delta.targets_size() == 0);
  const auto led = ApplyDelta(FilterView(before, wanted), delta);
  BOOST_REQUIRE(led.has_value());
  BOOST_TEST((led.value() == FilterView(after, wanted)));
}

inner::view_delta WithBalancers(const std::vector<balancer>& balancers) {
  view whole;
  whole.version = 5;
  whole.balancers = balancers;
  return view_history(kHistoryItems).DeltaFrom(0, whole, "none");
}

BOOST_AUTO_TEST_CASE(BalancersPassInGroupsOfAZone) {
  std::vector<balancer> balancers;
  const std::vector<std::string> addresses = {
      "192.0.2.1:7000", "[2001:db8::1]:7000", "198.51.100.255:65535"};
  for (uint64_t id = 1; id <= 60; ++id) {
    balancers.push_back({id * id, id % 2 == 0 ? "zone-a" : "zone-b",
                         ParseEndpoint(addresses[id % 3]).value()});
  }
  const inner::view_delta delta = WithBalancers(balancers);
  BOOST_TEST(delta.balancers_size() == 20);
  BOOST_TEST(delta.balancer_groups_size() == 2);
  const auto change = DecodeDelta(delta);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST((change.value().balancers == balancers));
}

BOOST_AUTO_TEST_CASE(MalformedGroupsAreRefused) {
  const inner::view_delta good =
      WithBalancers({{1, "zone", ParseEndpoint("192.0.2.1:7000").value()},
                     {2, "zone", ParseEndpoint("192.0.2.2:7000").value()}});
  BOOST_TEST(DecodeDelta(good).has_value());
  inner::view_delta bad = good;
  bad.mutable_balancer_groups(0)->mutable_addresses()->pop_back();
  BOOST_TEST(DecodeDelta(bad).has_error());
  bad = good;
  bad.mutable_balancer_groups(0)->set_id_steps(1, 0);
  BOOST_TEST(DecodeDelta(bad).has_error());
  bad = good;
  bad.mutable_balancer_groups(0)->set_id_steps(0, 0);
  BOOST_TEST(DecodeDelta(bad).has_error());
}

}  // namespace
}  // namespace cardamomroute
