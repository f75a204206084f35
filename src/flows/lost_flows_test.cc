#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "base/concat.h"
#include "base/metric_recorder.h"
#include "flows/flow_searches.h"
#include "flows/search_candidate.h"
#include "flows/search_outlet.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(lost_flows_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kStep = absl::Milliseconds(1);
constexpr absl::Duration kRoundTrip = absl::Milliseconds(5);
constexpr ipv4_address kHost{0xc6120001, 443};
// IP and UDP.
constexpr size_t kHeadBytes = 28;

/// Agents whose upstreams have started anew and hold no flow, as seen from one
/// balancer.
class empty_agents : public search_outlet {
 public:
  explicit empty_agents(uint32_t agents) {
    for (uint32_t i = 0; i < agents; ++i) {
      search_candidate candidate;
      candidate.agent = {0x0a010001 + i, 7720};
      candidate.is_reachable = true;
      candidates_.push_back(candidate);
    }
  }

  // Each flow has an order of its own.
  std::vector<search_candidate> CandidatesFor(const flow_id& flow,
                                              absl::Time /*now*/) override {
    constexpr size_t kStride = 37;
    std::vector<search_candidate> ordered = candidates_;
    const size_t first = flow.caller.ip * kStride % ordered.size();
    std::rotate(ordered.begin(),
                ordered.begin() + static_cast<ptrdiff_t>(first), ordered.end());
    return ordered;
  }
  void Ask(const ipv4_address& agent,
           const inner::holder_query& query) override {
    bytes_asked += kHeadBytes + query.ByteSizeLong();
    asked_.emplace_back(now + kRoundTrip, std::make_pair(agent, query));
  }
  void TryAt(const ipv4_address& /*agent*/,
             const held_packet& /*packet*/) override {}
  void OnUnanswered(const ipv4_address& /*agent*/,
                    absl::Time /*now*/) override {}
  void OnHolder(const flow_id& /*flow*/, const ipv4_address& /*agent*/,
                bool /*is_certain*/,
                const std::vector<held_packet>& /*waiting*/,
                absl::Time /*now*/) override {}
  void OnPresumptionDenied(const flow_id& /*flow*/) override {}
  void OnNowhere(const flow_id& flow, const flow_packet& /*last*/) override {
    told.insert(flow);
  }

  /// All agents deny what they were asked for.
  void Answer(flow_searches* searches) {
    while (!asked_.empty() && now >= asked_.front().first) {
      const auto [agent, query] = std::move(asked_.front().second);
      asked_.pop_front();
      inner::holder_answer answer;
      *answer.mutable_flows() = query.flows();
      for (int i = 0; i < query.flows().callers_size(); ++i) {
        answer.add_claims(inner::HOLDER_CLAIM_DENIES);
      }
      searches->OnAnswer(agent, answer, now);
      searches->Tick(now);
    }
  }

  absl::Time now = kStart;
  size_t bytes_asked = 0;
  /// Flows whose callers were told that they have ended.
  absl::flat_hash_set<flow_id> told;

 private:
  std::vector<search_candidate> candidates_;
  std::deque<
      std::pair<absl::Time, std::pair<ipv4_address, inner::holder_query>>>
      asked_;
};

/// A balancer that has started again, and callers of flows that are lost.
struct lost_flows {
  lost_flows(uint32_t agents, uint32_t flows)
      : outlet(agents), searches(&outlet, &measured), flows_(flows) {
    searches.OnSettled(absl::InfiniteFuture(), kStart);
  }

  // A caller repeats its packet until it is told.
  void Run(absl::Duration length) {
    constexpr absl::Duration kRepeat = absl::Seconds(1);
    const absl::Time end = outlet.now + length;
    while (outlet.now < end && outlet.told.size() < flows_) {
      if (outlet.now >= repeat_at_) {
        repeat_at_ += kRepeat;
        SendAll();
      }
      outlet.Answer(&searches);
      searches.Tick(outlet.now);
      outlet.now += kStep;
    }
  }
  void SendAll() {
    for (uint32_t i = 0; i < flows_; ++i) {
      flow_packet packet;
      packet.source = {0x64400001 + i, 40001};
      packet.destination = kHost;
      packet.acknowledges = true;
      const flow_id flow = FlowFromCaller(packet);
      if (!outlet.told.contains(flow)) {
        searches.OnPacket(flow, packet, {}, outlet.now);
      }
    }
  }

  metric_recorder measured{process_role::kBalancer};
  empty_agents outlet;
  flow_searches searches;

 private:
  const uint32_t flows_;
  absl::Time repeat_at_ = kStart;
};

// Pattern: an all-stop of the large site with its upstreams. 191 agents, and
// each balancer gets packets of 114 flows that are lost. Their callers are to
// be told within 0.7 s, so that they come back while their requests are still
// worth it.
BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreToldWithinSevenTenthsOfASecond) {
  constexpr uint32_t kAgents = 191;
  constexpr uint32_t kFlows = 114;
  lost_flows site(kAgents, kFlows);
  site.Run(absl::Milliseconds(700));
  const size_t told_in_time = site.outlet.told.size();
  site.Run(absl::Seconds(30));
  BOOST_TEST_MESSAGE(Concat("told in time ", told_in_time, ", all ",
                            site.outlet.told.size(), " after ",
                            absl::ToInt64Milliseconds(site.outlet.now - kStart),
                            " ms and ", site.outlet.bytes_asked, " bytes"));
  BOOST_TEST(told_in_time == kFlows);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
