#include "flows/flow_balancer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/metric_recorder.h"
#include "flows/balancer_outlet.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(flow_balancer_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr ipv4_address kHost{0xc6120001, 443};
constexpr ipv4_address kCaller{0x64400007, 40001};

/// Records what a balancer sends.
class recorder : public balancer_outlet {
 public:
  void SendToAgent(const ipv4_address& agent,
                   const inner::flow_datagram& datagram) override {
    sent.emplace_back(agent, datagram);
  }
  void ResetFlow(const flow_id& /*flow*/, uint32_t sequence) override {
    resets.push_back(sequence);
  }

  std::vector<std::pair<ipv4_address, inner::flow_datagram>> sent;
  std::vector<uint32_t> resets;
};

ipv4_address Agent(uint32_t number) { return {0x0a000000 + number, 7720}; }

known_upstream Upstream(uint32_t number, const std::string& service = "desk") {
  known_upstream item;
  item.agent = Agent(number);
  item.service = service;
  item.state = upstream_state::kServing;
  item.slots = 2;
  return item;
}

std::shared_ptr<const route_set> Routes(uint64_t version, bool with_route) {
  inner::route_list list;
  if (with_route) {
    inner::route_record* route = list.add_routes();
    route->set_host(kHost.ip);
    route->set_port(kHost.port);
    route->set_timeout_ms(500);
    inner::route_share* share = route->add_shares();
    share->set_service("desk");
    share->set_weight(1);
  }
  return std::make_shared<const route_set>(version, list);
}

flow_packet Opening(uint32_t copy = 0) {
  flow_packet packet;
  packet.source = kCaller;
  packet.destination = kHost;
  packet.opening = true;
  packet.acknowledged = copy;
  return packet;
}

flow_packet Data() {
  flow_packet packet = Opening();
  packet.opening = false;
  packet.acknowledges = true;
  packet.acknowledged = 501;
  packet.length = 1;
  return packet;
}

struct fixture {
  fixture() : balancer(&out, &measured) {
    balancer.OnRoutes(Routes(1, true));
    balancer.OnUpstreams({Upstream(1), Upstream(2), Upstream(3)});
    balancer.OnSettled(absl::InfiniteFuture(), kStart);
  }

  void Take(const flow_packet& packet, absl::Time now = kStart) {
    balancer.OnCallerPacket(packet, {}, now);
  }
  void HandBack(const ipv4_address& agent, const flow_packet& packet,
                absl::Time now = kStart) {
    balancer.OnReturned(agent, {}, packet, now);
  }
  const ipv4_address& LastAgent() const { return out.sent.back().first; }

  /// All that are asked in this round deny the flow.
  void DenyAll() {
    for (const ipv4_address& agent : Asked()) {
      Deny(agent);
    }
  }

  /// Ends a round of packets; the agents that were asked for flows in it.
  std::vector<ipv4_address> Asked(absl::Time now = kStart) {
    balancer.Tick(now);
    std::vector<ipv4_address> asked;
    for (const auto& [agent, datagram] : out.sent) {
      if (datagram.has_query()) {
        asked.push_back(agent);
        asked_at = datagram.query().asked_at();
      }
    }
    out.sent.clear();
    std::sort(asked.begin(), asked.end());
    return asked;
  }
  void Answer(const ipv4_address& agent, inner::holder_claim claim,
              absl::Time now = kStart) {
    inner::holder_answer answer;
    AddFlow({kCaller, kHost}, answer.mutable_flows());
    answer.add_claims(claim);
    answer.set_asked_at(asked_at);
    balancer.OnHolderAnswer(agent, answer, now);
  }
  void Deny(const ipv4_address& agent, absl::Time now = kStart) {
    Answer(agent, inner::HOLDER_CLAIM_DENIES, now);
  }
  /// The agents that a packet of a flow went to in this round.
  std::vector<ipv4_address> GivenPackets() const {
    std::vector<ipv4_address> given;
    for (const auto& [agent, datagram] : out.sent) {
      if (datagram.has_carried()) {
        given.push_back(agent);
      }
    }
    return given;
  }

  uint64_t Measured(const char* name) const {
    return ToJson(measured.registry().Values())["counters"][name];
  }

  recorder out;
  metric_recorder measured{process_role::kBalancer};
  flow_balancer balancer;
  /// Of the last query.
  uint64_t asked_at = 0;
};

BOOST_FIXTURE_TEST_CASE(ACopyOfAnUnansweredOpeningGoesElsewhere, fixture) {
  Take(Opening());
  const ipv4_address first = LastAgent();
  Take(Opening(1));
  BOOST_TEST((LastAgent() != first));
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(ACopyOfAnAnsweredOpeningGoesToTheSameAgent, fixture) {
  Take(Opening());
  const ipv4_address first = LastAgent();
  inner::flow_notice notice;
  notice.set_caller_ip(kCaller.ip);
  notice.set_caller_port(kCaller.port);
  notice.set_host_ip(kHost.ip);
  notice.set_host_port(kHost.port);
  balancer.OnNotice(first, notice, kStart);
  Take(Opening(1));
  BOOST_TEST((LastAgent() == first));
  Take(Data());
  BOOST_TEST((LastAgent() == first));
}

// Nobody takes it: the caller is told at once, and once.
BOOST_FIXTURE_TEST_CASE(AnOpeningThatAllRefuseIsReset, fixture) {
  Take(Opening());
  for (size_t i = 0; i < kOpeningTries; ++i) {
    BOOST_TEST(out.resets.empty());
    HandBack(LastAgent(), Opening());
  }
  BOOST_TEST(out.resets.size() == 1U);
  BOOST_TEST(out.sent.size() == kOpeningTries);
}

BOOST_FIXTURE_TEST_CASE(AnOpeningWithoutARouteIsReset, fixture) {
  flow_packet packet = Opening();
  packet.destination.port = 444;
  Take(packet);
  BOOST_TEST(out.resets.size() == 1U);
  BOOST_TEST(out.sent.empty());
}

// Other packets may belong to a route that this balancer has not heard of yet.
BOOST_FIXTURE_TEST_CASE(AnUnknownFlowWithoutARouteIsLeftAlone, fixture) {
  flow_packet packet = Data();
  packet.destination.port = 444;
  Take(packet);
  BOOST_TEST(out.resets.empty());
  BOOST_TEST(out.sent.empty());
}

BOOST_FIXTURE_TEST_CASE(AFlowOfARemovedRouteIsReset, fixture) {
  Take(Opening());
  balancer.OnRoutes(Routes(2, false));
  Take(Data());
  BOOST_REQUIRE(out.resets.size() == 1U);
  BOOST_TEST(out.resets.front() == 501U);
  balancer.OnRoutes(Routes(3, true));
  Take(Data());
  BOOST_TEST(out.resets.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(EachOutcomeOfAnOpeningIsCounted, fixture) {
  for (int i = 0; i < 3; ++i) {
    Take(Opening());
    HandBack(LastAgent(), Opening());
    HandBack(LastAgent(), Opening());
    HandBack(LastAgent(), Opening());
  }
  flow_packet elsewhere = Opening();
  elsewhere.destination.port = 1;
  Take(elsewhere);
  BOOST_TEST(Measured("packets_in") == 4U);
  BOOST_TEST(Measured("openings_placed") == 9U);
  BOOST_TEST(Measured("packets_forwarded") == 9U);
  BOOST_TEST(Measured("packets_returned") == 9U);
  BOOST_TEST(Measured("openings_refused_no_upstream") == 3U);
  BOOST_TEST(Measured("openings_refused_no_route") == 1U);
  BOOST_TEST(Measured("flows_reset") == out.resets.size());
  Take(Data());
  DenyAll();
  BOOST_TEST(Measured("flows_searched") == 3U);
  BOOST_TEST(Measured("flows_not_found") == 1U);
}

// Pattern: all have stopped, and callers are back before the routes are.
BOOST_AUTO_TEST_CASE(PacketsThatCameTooEarlyAreTakenUpLatestFirst) {
  recorder out;
  metric_recorder measured(process_role::kBalancer);
  flow_balancer balancer(&out, &measured);
  const auto at = [](int ms) { return kStart + absl::Milliseconds(ms); };
  const auto opening_from = [](uint16_t port, uint32_t copy) {
    flow_packet packet = Opening(copy);
    packet.source.port = port;
    return packet;
  };
  balancer.OnCallerPacket(opening_from(1, 0), std::vector<uint8_t>{1}, at(0));
  balancer.OnCallerPacket(opening_from(2, 0), std::vector<uint8_t>{2}, at(100));
  balancer.OnCallerPacket(opening_from(3, 0), std::vector<uint8_t>{3}, at(300));
  balancer.OnCallerPacket(opening_from(2, 1), std::vector<uint8_t>{4}, at(400));
  balancer.Tick(at(500));
  BOOST_TEST(out.sent.empty());
  balancer.OnRoutes(Routes(1, true));
  balancer.OnUpstreams({Upstream(1)});
  balancer.Tick(at(850));
  BOOST_REQUIRE(out.sent.size() == 2U);
  BOOST_TEST(out.sent[0].second.carried().packet() == "\4");
  BOOST_TEST(out.sent[1].second.carried().packet() == "\3");
  balancer.Tick(at(2000));
  BOOST_TEST(out.sent.size() == 2U);
  BOOST_TEST(out.resets.empty());
}

// The same, and the flow's upstream has ended: the caller waits no longer than
// it takes to be sure of that.
BOOST_FIXTURE_TEST_CASE(ASearchAsksUpstreamsThatAreHeardOfLater, fixture) {
  balancer.OnSettled(absl::InfinitePast(), kStart);
  balancer.OnUpstreams({Upstream(1)});
  Take(Data());
  BOOST_TEST(Asked().size() == 1U);
  Deny(Agent(1));
  BOOST_TEST(out.resets.empty());
  balancer.OnUpstreams({Upstream(1), Upstream(2)});
  balancer.OnSettled(absl::InfiniteFuture(), kStart);
  const absl::Time later = kStart + absl::Milliseconds(400);
  BOOST_TEST((Asked(later) == std::vector{Agent(2)}));
  BOOST_TEST(out.resets.empty());
  Deny(Agent(2), later);
  BOOST_TEST(out.resets.size() == 1U);
}

// Pattern: opening burst at three times capacity.
BOOST_FIXTURE_TEST_CASE(ACopyOfAnOpeningThatWaitsGoesToTheSameAgent, fixture) {
  inner::flow_notice notice;
  notice.set_caller_ip(kCaller.ip);
  notice.set_caller_port(kCaller.port);
  notice.set_host_ip(kHost.ip);
  notice.set_host_port(kHost.port);
  notice.set_waits(true);
  Take(Opening());
  const ipv4_address first = LastAgent();
  BOOST_TEST(out.sent.back().second.carried().patience_ms() == 250U);
  balancer.OnNotice(first, notice, kStart);
  Take(Opening(1), kStart + absl::Milliseconds(200));
  BOOST_REQUIRE(out.sent.size() == 2U);
  BOOST_TEST((LastAgent() == first));
  BOOST_TEST(out.sent.back().second.carried().patience_ms() == 50U);
  // Handed back, it may still find room elsewhere, but waits no longer.
  HandBack(first, Opening(1), kStart + absl::Milliseconds(250));
  BOOST_TEST((LastAgent() != first));
  BOOST_TEST(out.sent.back().second.carried().patience_ms() == 0U);
  BOOST_TEST(out.resets.empty());
}

// Pattern: the VM of a lost upstream is gone too, and did not say so.
BOOST_FIXTURE_TEST_CASE(ASearchGoesOnWithoutASilentAgentAndIsNotSure, fixture) {
  Take(Data());
  BOOST_TEST(Asked().size() == 3U);
  Deny(Agent(1));
  Deny(Agent(2));
  BOOST_TEST(Asked(kStart + kSearchPatience).empty());
  // It is asked again, and nothing is certain without it.
  const absl::Time later = kStart + kReaskInterval;
  BOOST_TEST((Asked(later) == std::vector{Agent(3)}));
  BOOST_TEST(out.resets.empty());
  Deny(Agent(3), later);
  BOOST_TEST(out.resets.size() == 1U);
}

// The same, and its agent had said that the upstream has ended.
BOOST_FIXTURE_TEST_CASE(ASilentAgentOfAnEndedUpstreamIsNotAwaited, fixture) {
  known_upstream ended = Upstream(1);
  ended.state = upstream_state::kEnded;
  ended.silent = true;
  balancer.OnUpstreams({ended, Upstream(2)});
  Take(Data());
  BOOST_TEST((Asked() == std::vector{Agent(2)}));
  Deny(Agent(2));
  BOOST_TEST(out.resets.size() == 1U);
  // One that answers is asked: its upstream may have started since.
  ended.silent = false;
  balancer.OnUpstreams({ended, Upstream(2)});
  Take(Data());
  BOOST_TEST((Asked() == std::vector{Agent(1), Agent(2)}));
  Deny(Agent(2));
  BOOST_TEST(out.resets.size() == 1U);
}

BOOST_AUTO_TEST_CASE(OnlySoManyPacketsWait) {
  recorder out;
  metric_recorder measured(process_role::kBalancer);
  flow_balancer balancer(&out, &measured);
  flow_packet packet = Opening();
  for (size_t i = 0; i < kMaxHeldPackets + 5; ++i) {
    packet.source.port = static_cast<uint16_t>(i + 1);
    balancer.OnCallerPacket(packet, {}, kStart);
  }
  balancer.OnRoutes(Routes(1, true));
  balancer.OnUpstreams({Upstream(1)});
  balancer.Tick(kStart);
  BOOST_TEST(out.sent.size() == kMaxHeldPackets);
}

BOOST_AUTO_TEST_CASE(WithoutRoutesNothingIsReset) {
  recorder out;
  metric_recorder measured(process_role::kBalancer);
  flow_balancer balancer(&out, &measured);
  balancer.OnCallerPacket(Opening(), {}, kStart);
  balancer.OnCallerPacket(Data(), {}, kStart);
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(AFlowThatAllDenyIsReset, fixture) {
  Take(Data());
  const std::vector<ipv4_address> all = Asked();
  BOOST_REQUIRE(all.size() == 3U);
  Deny(all[0]);
  Deny(all[1]);
  Deny(all[1]);
  BOOST_TEST(out.resets.empty());
  Deny(all[2]);
  BOOST_REQUIRE(out.resets.size() == 1U);
  BOOST_TEST(out.resets.front() == 501U);
}

BOOST_FIXTURE_TEST_CASE(AFlowIsNotResetWhileTheListMayLackUpstreams, fixture) {
  balancer.OnSettled(absl::InfinitePast(), kStart);
  Take(Data());
  DenyAll();
  BOOST_TEST(out.resets.empty());
}

// Guards against the reset of a living flow whose upstream this balancer has
// not heard of yet, and the one that opened it has.
BOOST_FIXTURE_TEST_CASE(AFlowIsNotResetByAListThatIsOlderThanItsSearch,
                        fixture) {
  balancer.OnSettled(kStart - absl::Milliseconds(1), kStart);
  Take(Data());
  DenyAll();
  BOOST_TEST(out.resets.empty());
  balancer.OnUpstreams({Upstream(1), Upstream(2), Upstream(3), Upstream(4)});
  balancer.OnSettled(kStart, kStart);
  BOOST_TEST((Asked() == std::vector{Agent(4)}));
  BOOST_TEST(out.resets.empty());
  Deny(Agent(4));
  BOOST_TEST(out.resets.size() == 1U);
}

// The same, and there is no such upstream.
BOOST_FIXTURE_TEST_CASE(AFlowThatAllDenyIsResetOnceTheListIsNewer, fixture) {
  balancer.OnSettled(kStart - absl::Milliseconds(1), kStart);
  Take(Data());
  DenyAll();
  BOOST_TEST(Asked(kStart + absl::Milliseconds(50)).empty());
  BOOST_TEST(out.resets.empty());
  balancer.OnSettled(kStart, kStart);
  balancer.Tick(kStart + absl::Milliseconds(100));
  BOOST_TEST(out.resets.size() == 1U);
}

// Pattern: callers of lost flows come back by and by. Each is told as soon as a
// list that is newer than its search can be had, and no list is asked for while
// an agent may still hold the flow.
BOOST_FIXTURE_TEST_CASE(ANewerListIsWantedOnceAllDeny, fixture) {
  const absl::Time began = kStart + absl::Milliseconds(7);
  balancer.OnSettled(kStart, kStart);
  Take(Data(), began);
  const std::vector<ipv4_address> all = Asked(began);
  BOOST_REQUIRE(all.size() == 3U);
  Deny(all[0], began);
  Deny(all[1], began);
  BOOST_TEST((balancer.ListWantedAsOf() == absl::InfinitePast()));
  Deny(all[2], began);
  BOOST_TEST((balancer.ListWantedAsOf() == began));
  BOOST_TEST(out.resets.empty());
  const absl::Time asked = began + absl::Milliseconds(2);
  balancer.OnSettled(asked, asked);
  balancer.Tick(asked);
  BOOST_TEST(out.resets.size() == 1U);
}

// Guards against the reset of a flow that its caller has opened anew meanwhile.
BOOST_FIXTURE_TEST_CASE(AListThatIsNewerTooLateResetsNothing, fixture) {
  balancer.OnSettled(kStart - absl::Milliseconds(1), kStart);
  Take(Data());
  DenyAll();
  const absl::Time later = kStart + kHeldPacketLife;
  balancer.OnSettled(later, later);
  balancer.Tick(later);
  BOOST_TEST(out.resets.empty());
}

// The list changes while a search goes on; each agent is asked.
BOOST_FIXTURE_TEST_CASE(ASearchAsksEveryAgentWhateverChangesMeanwhile,
                        fixture) {
  Take(Data());
  BOOST_TEST(Asked().size() == 3U);
  Deny(Agent(1));
  known_upstream silent = Upstream(1);
  silent.silent = true;
  balancer.OnUpstreams({silent, Upstream(2), Upstream(3), Upstream(4)});
  Deny(Agent(2));
  Deny(Agent(3));
  BOOST_TEST(out.resets.empty());
  BOOST_TEST((Asked() == std::vector{Agent(4)}));
  Deny(Agent(4));
  BOOST_TEST(out.resets.size() == 1U);
}

// The route's service may have been another one when the flow was opened.
BOOST_FIXTURE_TEST_CASE(ASearchAsksOtherServicesToo, fixture) {
  balancer.OnUpstreams({Upstream(1), Upstream(2, "files")});
  Take(Data());
  BOOST_TEST((Asked() == std::vector{Agent(1), Agent(2)}));
  Deny(Agent(1));
  BOOST_TEST(out.resets.empty());
  Deny(Agent(2));
  BOOST_TEST(out.resets.size() == 1U);
}

// Packets that came meanwhile follow in their order.
BOOST_FIXTURE_TEST_CASE(PacketsOfASearchGoToTheHolder, fixture) {
  Take(Data());
  Asked();
  Take(Data(), kStart + absl::Milliseconds(1));
  Answer(Agent(2), inner::HOLDER_CLAIM_HOLDS);
  BOOST_TEST((GivenPackets() == std::vector{Agent(2), Agent(2)}));
  BOOST_TEST(Measured("search_tries") == 0U);
  out.sent.clear();
  Take(Data(), kStart + absl::Milliseconds(2));
  BOOST_TEST((GivenPackets() == std::vector{Agent(2)}));
  Deny(Agent(1));
  Deny(Agent(3));
  BOOST_TEST(out.resets.empty());
}

// Flows that come in one round are asked for together: one of them by name, and
// the others as well where the agents do not list their flows.
BOOST_FIXTURE_TEST_CASE(QueriesOfOneRoundShareADatagram, fixture) {
  Take(Data());
  for (const uint16_t port : {40002, 40003}) {
    flow_packet other = Data();
    other.source.port = port;
    Take(other);
  }
  BOOST_TEST(Asked().size() == 3U);
  for (uint32_t number = 1; number <= 3; ++number) {
    Answer(Agent(number), inner::HOLDER_CLAIM_UNCERTAIN);
  }
  out.sent.clear();
  balancer.Tick(kStart);
  size_t queries = 0;
  for (const auto& [agent, datagram] : out.sent) {
    if (datagram.has_query()) {
      ++queries;
      BOOST_TEST(FlowsOf(datagram.query().flows()).size() == 2U);
    }
  }
  BOOST_TEST(queries == 3U);
}

// An agent that started later than its upstream cannot tell. A packet decides
// once no other agent holds the flow.
BOOST_FIXTURE_TEST_CASE(AnUncertainAgentIsTriedAfterAllHaveAnswered, fixture) {
  Take(Data());
  Asked();
  Answer(Agent(1), inner::HOLDER_CLAIM_UNCERTAIN);
  Deny(Agent(2));
  BOOST_TEST(GivenPackets().empty());
  Deny(Agent(3));
  BOOST_TEST((GivenPackets() == std::vector{Agent(1)}));
  BOOST_TEST(out.sent.back().second.carried().attempt() == 1U);
  Deny(Agent(1));
  BOOST_TEST(out.resets.size() == 1U);
}

// Its upstream has kept the packet, which needs no answer.
BOOST_FIXTURE_TEST_CASE(APacketThatIsNotHandedBackIsAtItsHolder, fixture) {
  Take(Data());
  Asked();
  Answer(Agent(1), inner::HOLDER_CLAIM_UNCERTAIN);
  Deny(Agent(2));
  Deny(Agent(3));
  out.sent.clear();
  const absl::Time later = kStart + kTryPatience;
  balancer.Tick(later);
  Take(Data(), later);
  BOOST_TEST((GivenPackets() == std::vector{Agent(1)}));
  // It has lost the packet on the way, and denies the flow after all.
  Deny(Agent(1), later);
  BOOST_TEST(out.resets.size() == 1U);
}

// The same, and the agent has gone meanwhile: the flow may be elsewhere.
BOOST_FIXTURE_TEST_CASE(ASearchGoesOnWhereThePresumedAgentIsSilent, fixture) {
  Take(Data());
  Asked();
  Answer(Agent(1), inner::HOLDER_CLAIM_UNCERTAIN);
  Answer(Agent(2), inner::HOLDER_CLAIM_UNCERTAIN);
  Answer(Agent(3), inner::HOLDER_CLAIM_UNCERTAIN);
  const std::vector<ipv4_address> tried = GivenPackets();
  BOOST_REQUIRE(tried.size() == kFirstTried);
  Deny(tried[1]);
  absl::Time now = kStart + kTryPatience;
  Asked(now);
  Take(Data(), now);
  BOOST_TEST((Asked(now) == std::vector{tried[0]}));
  now += kSearchPatience;
  Asked(now);
  Take(Data(), now);
  // Two were tried, and the silent one may hold the flow.
  BOOST_TEST(GivenPackets().empty());
  BOOST_TEST(out.resets.empty());
  BOOST_TEST((Asked(now + kReaskInterval) == std::vector{tried[0]}));
}

BOOST_FIXTURE_TEST_CASE(OpeningsPassOverThoseThatDrain, fixture) {
  known_upstream draining = Upstream(1);
  draining.state = upstream_state::kDraining;
  known_upstream absent = Upstream(2);
  absent.state = upstream_state::kAbsent;
  balancer.OnUpstreams({draining, absent, Upstream(3)});
  Take(Opening());
  BOOST_TEST((LastAgent() == Agent(3)));
}

BOOST_FIXTURE_TEST_CASE(FlowsAreForgottenInTime, fixture) {
  Take(Opening());
  BOOST_TEST(balancer.cached_flows() == 1U);
  flow_packet end = Data();
  end.finishing = true;
  Take(end);
  balancer.Tick(kStart + kEndedFlowLife);
  BOOST_TEST(balancer.cached_flows() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
