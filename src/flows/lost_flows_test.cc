#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/concat.h"
#include "base/metric_recorder.h"
#include "flows/agent_outlet.h"
#include "flows/flow_agent.h"
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
constexpr absl::Duration kTimeToTell = absl::Milliseconds(700);
// IP and UDP.
constexpr size_t kHeadBytes = 28;

/// An agent that has started before its upstream. Callers have come back to
/// that and opened flows anew.
class agent_end : public agent_outlet {
 public:
  agent_end(uint32_t number, uint32_t open_flows)
      : core_(HashOfService("desk"), number + 1, this, &measured_) {
    core_.OnUpstream(upstream_state::kServing, 2, true);
    for (uint32_t i = 0; i < open_flows; ++i) {
      HoldFlowOf({kNewCallers + number, static_cast<uint16_t>(i + 1)});
    }
  }

  /// Its upstream sends a packet of the caller's flow.
  void HoldFlowOf(const ipv4_address& caller) {
    flow_packet packet;
    packet.source = kHost;
    packet.destination = caller;
    packet.acknowledges = true;
    core_.OnUpstreamPacket(packet, {}, kStart);
  }

  void SendToUpstream(absl::Span<const uint8_t> /*bytes*/,
                      uint32_t /*mark*/) override {}
  void SendToCaller(const flow_id& /*flow*/,
                    absl::Span<const uint8_t> /*bytes*/) override {}
  void SendToBalancer(const ipv4_address& /*balancer*/,
                      const inner::flow_datagram& datagram) override {
    if (datagram.has_answer()) {
      answer_ = datagram.answer();
    }
  }
  void ResetFlow(const flow_id& /*flow*/, uint32_t /*sequence*/) override {}

  inner::holder_answer AnswerTo(const inner::holder_query& query) {
    core_.OnHolderQuery({}, query);
    return answer_;
  }
  flow_agent& core() { return core_; }

 private:
  static constexpr uint32_t kNewCallers = 0x64500000;

  metric_recorder measured_{process_role::kAgent};
  flow_agent core_;
  inner::holder_answer answer_;
};

/// The agents of a site, none of which has the flows that are searched, as seen
/// from one balancer.
class empty_agents : public search_outlet {
 public:
  empty_agents(uint32_t agents, uint32_t open_flows) {
    for (uint32_t i = 0; i < agents; ++i) {
      search_candidate candidate;
      candidate.agent = AddressOf(i);
      candidate.is_reachable = true;
      candidates_.push_back(candidate);
      agents_.push_back(std::make_unique<agent_end>(i, open_flows));
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
    ++queries;
    asked_.emplace_back(now + kRoundTrip, std::make_pair(agent, query));
  }
  void TryAt(const ipv4_address& /*agent*/,
             const held_packet& /*packet*/) override {}
  void OnUnanswered(const ipv4_address& /*agent*/,
                    absl::Time /*now*/) override {}
  void OnHolder(const flow_id& flow, const ipv4_address& agent,
                bool /*is_certain*/,
                const std::vector<held_packet>& /*waiting*/,
                absl::Time /*now*/) override {
    found[flow] = agent;
  }
  void OnPresumptionDenied(const flow_id& /*flow*/) override {}
  void OnNowhere(const flow_id& flow, const flow_packet& /*last*/) override {
    told[flow] = now;
  }

  void Answer(flow_searches* searches) {
    while (!asked_.empty() && now >= asked_.front().first) {
      const auto [agent, query] = std::move(asked_.front().second);
      asked_.pop_front();
      const inner::holder_answer answer =
          agents_[agent.ip - kFirstAgent]->AnswerTo(query);
      bytes_answered += kHeadBytes + answer.ByteSizeLong();
      searches->OnAnswer(agent, answer, now);
      searches->Tick(now);
    }
  }
  agent_end& Agent(uint32_t number) { return *agents_[number]; }
  static ipv4_address AddressOf(uint32_t number) {
    return {kFirstAgent + number, 7720};
  }

  absl::Time now = kStart;
  size_t queries = 0;
  size_t bytes_asked = 0;
  size_t bytes_answered = 0;
  /// Flows whose callers were told that they have ended, and when.
  absl::flat_hash_map<flow_id, absl::Time> told;
  absl::flat_hash_map<flow_id, ipv4_address> found;

 private:
  static constexpr uint32_t kFirstAgent = 0x0a010001;

  std::vector<search_candidate> candidates_;
  std::vector<std::unique_ptr<agent_end>> agents_;
  std::deque<
      std::pair<absl::Time, std::pair<ipv4_address, inner::holder_query>>>
      asked_;
};

/// A balancer that has started again, and callers of flows that are lost.
struct lost_flows {
  struct load {
    uint32_t agents = 191;
    uint32_t flows = 114;
    /// Flows that each agent holds.
    uint32_t open_flows = 0;
    /// Until the last caller has sent its first packet.
    absl::Duration spread = absl::ZeroDuration();
  };

  explicit lost_flows(const load& wanted)
      : outlet(wanted.agents, wanted.open_flows),
        searches(&outlet, &measured),
        wanted_(wanted) {
    searches.OnSettled(absl::InfiniteFuture(), kStart);
    for (uint32_t i = 0; i < wanted.flows; ++i) {
      send_at_.push_back(kStart + wanted.spread * i / wanted.flows);
    }
  }

  // A caller repeats its packet until it is told.
  void Run(absl::Duration length) {
    const absl::Time end = outlet.now + length;
    while (outlet.now < end && outlet.told.size() < wanted_.flows) {
      SendAll();
      outlet.Answer(&searches);
      searches.Tick(outlet.now);
      outlet.now += kStep;
    }
  }
  void SendAll() {
    constexpr absl::Duration kRepeat = absl::Seconds(1);
    for (uint32_t i = 0; i < wanted_.flows; ++i) {
      if (outlet.now < send_at_[i]) {
        continue;
      }
      send_at_[i] += kRepeat;
      if (!outlet.told.contains(FlowFromCaller(PacketOf(i)))) {
        searches.OnPacket(FlowFromCaller(PacketOf(i)), PacketOf(i), {},
                          outlet.now);
      }
    }
  }
  static flow_packet PacketOf(uint32_t caller) {
    flow_packet packet;
    packet.source = {0x64400001 + caller, 40001};
    packet.destination = kHost;
    packet.acknowledges = true;
    return packet;
  }
  /// Callers who were told within this time of their first packet.
  size_t ToldWithin(absl::Duration time) const {
    size_t in_time = 0;
    for (uint32_t i = 0; i < wanted_.flows; ++i) {
      const auto told = outlet.told.find(FlowFromCaller(PacketOf(i)));
      in_time +=
          told != outlet.told.end() &&
          told->second <= kStart + wanted_.spread * i / wanted_.flows + time;
    }
    return in_time;
  }
  std::string Summary() const {
    return Concat("told in time ", ToldWithin(kTimeToTell), ", all ",
                  outlet.told.size(), " after ",
                  absl::ToInt64Milliseconds(outlet.now - kStart), " ms, ",
                  outlet.queries, " queries of ", outlet.bytes_asked,
                  " bytes, answers of ", outlet.bytes_answered, " bytes");
  }

  metric_recorder measured{process_role::kBalancer};
  empty_agents outlet;
  flow_searches searches;

 private:
  const load wanted_;
  std::vector<absl::Time> send_at_;
};

void CheckThatAllAreToldInTime(const lost_flows::load& load) {
  lost_flows site(load);
  site.Run(absl::Seconds(30));
  BOOST_TEST_MESSAGE(site.Summary());
  BOOST_TEST(site.ToldWithin(kTimeToTell) == load.flows);
}

// Pattern: an all-stop of the large site with its upstreams. 191 agents, and
// each balancer gets packets of 114 flows that are lost. Their callers are to
// be told within 0.7 s, so that they come back while their requests are still
// worth it.
BOOST_AUTO_TEST_CASE(CallersOfLostFlowsAreToldWithinSevenTenthsOfASecond) {
  CheckThatAllAreToldInTime(lost_flows::load());
}

// The same, while callers come one by one, and each agent holds new flows.
BOOST_AUTO_TEST_CASE(CallersThatComeOneByOneAreToldInTime) {
  lost_flows::load load;
  load.open_flows = 30;
  load.spread = absl::Seconds(2);
  CheckThatAllAreToldInTime(load);
}

// Pattern: callers of lost flows come one by one while the agents of the large
// site hold as many flows as on an ordinary day. Callers are to be told soon
// enough to come back within their latency objective of 0.4 s.
BOOST_AUTO_TEST_CASE(CallersAreToldWhileTheyCanStillBeAnsweredInTime) {
  constexpr absl::Duration kTimeToComeBack = absl::Milliseconds(300);
  lost_flows::load load;
  load.open_flows = 75;
  load.spread = absl::Seconds(2);
  lost_flows site(load);
  site.Run(absl::Seconds(30));
  BOOST_TEST_MESSAGE(site.Summary());
  // All but those that come while the first lists fill the link.
  BOOST_TEST(site.ToldWithin(kTimeToComeBack) >= load.flows * 9 / 10);
}

// Pattern: a balancer has started again alone. Its flows are where they were,
// as the lists of their agents say.
BOOST_AUTO_TEST_CASE(FlowsThatAreHeldAreFoundByTheListsOfTheirAgents) {
  lost_flows::load load;
  load.flows = 20;
  lost_flows site(load);
  const auto holder_of = [&](uint32_t caller) {
    return caller * 7 % load.agents;
  };
  for (uint32_t caller = 0; caller < load.flows; ++caller) {
    site.outlet.Agent(holder_of(caller))
        .HoldFlowOf(lost_flows::PacketOf(caller).source);
  }
  site.Run(kTimeToTell);
  BOOST_TEST(site.outlet.told.empty());
  BOOST_TEST(site.outlet.found.size() == load.flows);
  for (uint32_t caller = 0; caller < load.flows; ++caller) {
    const flow_id flow = FlowFromCaller(lost_flows::PacketOf(caller));
    BOOST_TEST((site.outlet.found[flow] ==
                empty_agents::AddressOf(holder_of(caller))));
  }
}

// Pattern: agents start again beside their upstreams while flows are searched.
// What they listed before says nothing of what their upstreams hold now.
BOOST_AUTO_TEST_CASE(AnAgentThatListsNoMoreIsAskedByName) {
  lost_flows::load load;
  load.agents = 2;
  load.flows = 1;
  lost_flows site(load);
  site.Run(kTimeToTell);
  BOOST_TEST(site.outlet.told.size() == 1U);
  site.outlet.told.clear();
  for (uint32_t agent = 0; agent < load.agents; ++agent) {
    site.outlet.Agent(agent).core().OnUpstream(upstream_state::kServing, 2,
                                               false);
  }
  site.Run(absl::Seconds(2));
  BOOST_TEST(site.outlet.told.empty());
  BOOST_TEST(site.searches.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
