#include "routing/balancer_core.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "view/view_codec.h"

namespace cardamomroute {
namespace {

const absl::Time kNow = absl::FromUnixSeconds(1'800'000'000);

endpoint Port(uint16_t port) {
  endpoint address;
  address.port = port;
  return address;
}

view MakeView(uint64_t version, const std::vector<target_id>& targets) {
  view result;
  result.version = version;
  service item;
  item.id = 1;
  item.address = Port(5683);
  result.services.push_back(item);
  for (const target_id id : targets) {
    target serving;
    serving.id = id;
    serving.service = 1;
    serving.zone = id % 2 == 0 ? "saga" : "hakata";
    serving.agent = Port(static_cast<uint16_t>(id));
    result.targets.push_back(serving);
  }
  return result;
}

view_change Whole(const view& item) {
  return DecodeDelta(MakeDelta(view{}, item)).value();
}

packet_header AnswerOf(const balancer_decision& decision, target_id holder) {
  packet_header answer = decision.header;
  answer.kind = packet_kind::kToCaller;
  answer.holder = holder;
  return answer;
}

BOOST_AUTO_TEST_CASE(NeverGoesBackToAnOlderView) {
  balancer_core core(Port(1), 16);
  BOOST_TEST(core.OnChange(Whole(MakeView(7, {1, 2, 3}))));
  BOOST_TEST(!core.OnChange(Whole(MakeView(6, {1}))));
  BOOST_TEST(core.view_version() == 7U);
  BOOST_TEST(core.table().Find(1)->targets().size() == 3U);
}

BOOST_AUTO_TEST_CASE(WithoutALeaseItKeepsFlowsAndTakesNone) {
  balancer_core core(Port(1), 16);
  core.OnChange(Whole(MakeView(7, {1, 2, 3})));
  core.OnCurrentVersion(8, kNow);
  BOOST_TEST(!core.lease().IsValid(kNow));
  core.OnCurrentVersion(7, kNow);
  const auto first = core.OnPacket(Port(9), Port(5683), kNow);
  BOOST_TEST((first.verdict == balancer_verdict::kForward));
  BOOST_TEST(core.OnAnswer(AnswerOf(first, 2)).deliver);
  const absl::Time later = kNow + kNodeLease;
  const auto kept = core.OnPacket(Port(9), Port(5683), later);
  BOOST_TEST((kept.verdict == balancer_verdict::kForward));
  BOOST_TEST(kept.agent_id == 2U);
  const auto refused = core.OnPacket(Port(10), Port(5683), later);
  BOOST_TEST((refused.verdict == balancer_verdict::kRefuse));
  BOOST_TEST((refused.reason == error_kind::kStaleView));
  core.OnCurrentVersion(7, later);
  BOOST_TEST((core.OnPacket(Port(10), Port(5683), later).verdict ==
              balancer_verdict::kForward));
}

BOOST_AUTO_TEST_CASE(DropsWhatIsForNoService) {
  balancer_core core(Port(1), 16);
  BOOST_TEST((core.OnPacket(Port(9), Port(5683), kNow).verdict ==
              balancer_verdict::kDrop));
  core.OnChange(Whole(MakeView(7, {})));
  core.OnCurrentVersion(7, kNow);
  BOOST_TEST((core.OnPacket(Port(9), Port(80), kNow).verdict ==
              balancer_verdict::kDrop));
  const auto refused = core.OnPacket(Port(9), Port(5683), kNow);
  BOOST_TEST((refused.verdict == balancer_verdict::kRefuse));
  BOOST_TEST((refused.reason == error_kind::kUnreachable));
  packet_header foreign;
  foreign.kind = packet_kind::kToCaller;
  foreign.flow.service = 2;
  foreign.view_version = 8;
  const balancer_answer answer = core.OnAnswer(foreign);
  BOOST_TEST(!answer.deliver);
  BOOST_TEST(answer.pull_now);
}

RC_BOOST_PROP(CachedHoldersThatLeftTheViewAreForgotten, (uint16_t caller)) {
  balancer_core core(Port(1), 16);
  core.OnChange(Whole(MakeView(7, {1, 2, 3})));
  core.OnCurrentVersion(7, kNow);
  const auto first = core.OnPacket(Port(caller), Port(5683), kNow);
  core.OnAnswer(AnswerOf(first, 2));
  const auto cached = core.OnPacket(Port(caller), Port(5683), kNow);
  RC_ASSERT(cached.is_cached && cached.agent_id == 2U);
  core.OnChange(Whole(MakeView(8, {1, 3})));
  const auto next = core.OnPacket(Port(caller), Port(5683), kNow);
  RC_ASSERT(!next.is_cached);
  RC_ASSERT(next.agent_id == next.header.home && next.agent_id != 2U);
  RC_ASSERT(next.header.previous_home == first.header.home);
  RC_ASSERT(next.header.view_version == 8U);
}

RC_BOOST_PROP(CacheStaysInItsBound, (const std::vector<uint16_t>& callers)) {
  flow_cache cache(8);
  for (const uint16_t caller : callers) {
    cache.Insert({Port(caller), 1}, caller);
    RC_ASSERT(cache.Find({Port(caller), 1}) == caller);
    RC_ASSERT(cache.size() <= 8U);
  }
}

}  // namespace
}  // namespace cardamomroute
