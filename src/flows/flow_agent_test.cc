#include "flows/flow_agent.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/metric_recorder.h"
#include "flows/agent_outlet.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(flow_agent_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr uint64_t kService = 5;
constexpr uint32_t kRun = 70;
constexpr ipv4_address kHost{0xc6120001, 443};
constexpr ipv4_address kCaller{0x64400007, 40001};
constexpr ipv4_address kBalancer{0x0a000001, 7720};
constexpr uint32_t kFirstSequence = 900;

/// Records what an agent sends.
class recorder : public agent_outlet {
 public:
  void SendToUpstream(absl::Span<const uint8_t> /*bytes*/,
                      uint32_t mark) override {
    marks.push_back(mark);
  }
  void SendToCaller(const flow_id& /*flow*/,
                    absl::Span<const uint8_t> /*bytes*/) override {
    ++to_caller;
  }
  void SendToBalancer(const ipv4_address& /*balancer*/,
                      const inner::flow_datagram& datagram) override {
    to_balancer.push_back(datagram);
  }
  void ResetFlow(const flow_id& /*flow*/, uint32_t sequence) override {
    resets.push_back(sequence);
  }

  std::vector<uint32_t> marks;
  int to_caller = 0;
  std::vector<inner::flow_datagram> to_balancer;
  std::vector<uint32_t> resets;
};

struct fixture {
  fixture() : agent(kService, kRun, &out, &measured) {
    agent.OnUpstream(upstream_state::kServing, 2, true);
  }

  static flow_packet FromCaller(bool opening, uint32_t acknowledged) {
    flow_packet packet;
    packet.source = kCaller;
    packet.destination = kHost;
    packet.opening = opening;
    packet.acknowledges = !opening;
    packet.acknowledged = acknowledged;
    packet.length = opening ? 0 : 10;
    return packet;
  }
  static flow_packet FromUpstream(bool opening) {
    flow_packet packet;
    packet.source = kHost;
    packet.destination = kCaller;
    packet.opening = opening;
    packet.acknowledges = true;
    packet.sequence = kFirstSequence;
    packet.length = opening ? 0 : 10;
    return packet;
  }
  void Carry(const flow_packet& packet, uint64_t service = kService) {
    inner::carried_packet carried;
    carried.set_service(service);
    agent.OnCarried(kBalancer, carried, packet, kStart);
  }
  void Return(flow_packet packet) {
    packet.returned = true;
    packet.mark = out.marks.back();
    agent.OnUpstreamPacket(packet, {}, kStart);
  }
  void OpenFlow() {
    Carry(FromCaller(true, 0));
    agent.OnUpstreamPacket(FromUpstream(true), {}, kStart);
    Carry(FromCaller(false, kFirstSequence + 1));
    agent.OnUpstreamPacket(FromUpstream(false), {}, kStart);
  }
  inner::holder_claim Claim() {
    inner::holder_query query;
    AddFlow({kCaller, kHost}, query.mutable_flows());
    agent.OnHolderQuery(kBalancer, query);
    return out.to_balancer.back().answer().claims(0);
  }
  /// The answer to a query that names no flow, by a balancer that has the list
  /// of the answer `before`.
  inner::holder_answer Listing(const inner::holder_answer& before = {}) {
    inner::holder_query query;
    query.set_asked_at(1);
    query.set_list_run(before.list_run());
    query.set_listed_up_to(before.listed_up_to());
    agent.OnHolderQuery(kBalancer, query);
    return out.to_balancer.back().answer();
  }
  /// The packet of a search.
  void Try(const flow_packet& packet) {
    inner::carried_packet carried;
    carried.set_service(kService);
    carried.set_attempt(1);
    agent.OnCarried(kBalancer, carried, packet, kStart);
  }
  inner::return_reason LastReason() const {
    return out.to_balancer.back().returned().reason();
  }

  recorder out;
  metric_recorder measured{process_role::kAgent};
  flow_agent agent;
};

BOOST_FIXTURE_TEST_CASE(TimesOfOpeningsAndAnswersAreMeasured, fixture) {
  inner::carried_packet carried;
  carried.set_service(kService);
  const auto at = [](int ms) { return kStart + absl::Milliseconds(ms); };
  agent.OnCarried(kBalancer, carried, FromCaller(true, 0), at(0));
  // A copy does not begin it anew.
  agent.OnCarried(kBalancer, carried, FromCaller(true, 1), at(200));
  agent.OnUpstreamPacket(FromUpstream(true), {}, at(203));
  agent.OnCarried(kBalancer, carried, FromCaller(false, kFirstSequence + 1),
                  at(210));
  agent.OnUpstreamPacket(FromUpstream(false), {}, at(250));
  agent.OnUpstreamPacket(FromUpstream(false), {}, at(260));
  agent.Tick(at(300));
  const auto measures = ToJson(measured.registry().Values());
  const auto& times = measures["latencies"];
  BOOST_TEST(times["flow_opening_time"]["count"] == 1);
  BOOST_TEST(times["flow_opening_time"]["max_us"] == 203000.0);
  BOOST_TEST(times["flow_answer_time"]["count"] == 1);
  BOOST_TEST(times["flow_answer_time"]["max_us"] == 40000.0);
  BOOST_TEST(measures["counters"]["openings_delivered"] == 2);
  BOOST_TEST(measures["counters"]["upstream_packets"] == 3);
  BOOST_TEST(measures["gauges"]["open_flows"] == 1);
  BOOST_TEST(measures["gauges"]["upstream_serves"] == 1);
}

BOOST_FIXTURE_TEST_CASE(TellsTheBalancerOfAnAnsweredOpening, fixture) {
  Carry(FromCaller(true, 0));
  BOOST_TEST(out.to_balancer.empty());
  agent.OnUpstreamPacket(FromUpstream(true), {}, kStart);
  BOOST_REQUIRE(out.to_balancer.size() == 1U);
  BOOST_TEST(out.to_balancer[0].notice().caller_port() == kCaller.port);
  BOOST_TEST(out.to_caller == 1);
}

BOOST_FIXTURE_TEST_CASE(TakesNoOpeningOfAnotherService, fixture) {
  Carry(FromCaller(true, 0), kService + 1);
  BOOST_TEST(out.marks.empty());
  BOOST_TEST((LastReason() == inner::RETURN_OTHER_SERVICE));
}

BOOST_FIXTURE_TEST_CASE(TakesNoOpeningWhileDraining, fixture) {
  for (const upstream_state state :
       {upstream_state::kDraining, upstream_state::kAbsent}) {
    agent.OnUpstream(state, 2, true);
    Carry(FromCaller(true, 0));
    BOOST_TEST(out.marks.empty());
    BOOST_TEST((LastReason() == inner::RETURN_NO_NEW_FLOWS));
  }
}

BOOST_FIXTURE_TEST_CASE(KeepsFlowsWhileDraining, fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kDraining, 2, true);
  const size_t before = out.marks.size();
  Carry(FromCaller(false, kFirstSequence + 11));
  BOOST_TEST(out.marks.size() == before + 1);
}

// The caller took the answer of another upstream.
BOOST_FIXTURE_TEST_CASE(DeniesAFlowThatWasOpenedElsewhere, fixture) {
  Carry(FromCaller(true, 0));
  agent.OnUpstreamPacket(FromUpstream(true), {}, kStart);
  Carry(FromCaller(false, 12345));
  BOOST_TEST(out.marks.size() == 1U);
  BOOST_TEST((LastReason() == inner::RETURN_NOT_HELD));
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(DeniesAnUnknownFlowOnlyIfItWouldKnow, fixture) {
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.marks.empty());
  BOOST_TEST((LastReason() == inner::RETURN_NOT_HELD));
  // After a restart beside a living upstream that one has to say.
  agent.OnUpstream(upstream_state::kServing, 2, false);
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.marks.size() == 1U);
  Return(FromCaller(false, 1));
  BOOST_TEST((LastReason() == inner::RETURN_NOT_HELD));
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(LearnsFlowsFromItsUpstreamAfterARestart, fixture) {
  agent.OnUpstream(upstream_state::kServing, 2, false);
  Carry(FromCaller(false, 1));
  agent.OnUpstreamPacket(FromUpstream(false), {}, kStart);
  BOOST_TEST(agent.held_flows() == 1U);
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.to_balancer.back().has_notice());
}

BOOST_FIXTURE_TEST_CASE(SaysWhichFlowsItsUpstreamHolds, fixture) {
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_DENIES);
  OpenFlow();
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_HOLDS);
  BOOST_TEST(out.to_balancer.back().answer().load().open_flows() == 1U);
}

// Which of two answers to an opening the caller took only a packet can tell.
BOOST_FIXTURE_TEST_CASE(IsUncertainOfAFlowThatIsNotConfirmed, fixture) {
  Carry(FromCaller(true, 0));
  agent.OnUpstreamPacket(FromUpstream(true), {}, kStart);
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_UNCERTAIN);
  Try(FromCaller(false, kFirstSequence + 2));
  BOOST_TEST(out.marks.size() == 1U);
  BOOST_TEST(out.to_balancer.back().answer().claims(0) ==
             inner::HOLDER_CLAIM_DENIES);
}

// Issue 21: after a restart each packet of a foreign flow went to the upstream.
BOOST_FIXTURE_TEST_CASE(AsksItsUpstreamOnceForAFlowOfBeforeItsStart, fixture) {
  agent.OnUpstream(upstream_state::kServing, 2, false);
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_UNCERTAIN);
  Try(FromCaller(false, 1));
  BOOST_TEST(out.marks.size() == 1U);
  Return(FromCaller(false, 1));
  BOOST_TEST(out.to_balancer.back().answer().claims(0) ==
             inner::HOLDER_CLAIM_DENIES);
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_DENIES);
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.marks.size() == 1U);
  BOOST_TEST(LastReason() == inner::RETURN_NOT_HELD);
  // Unless a flow of that name is opened later.
  OpenFlow();
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_HOLDS);
}

// The balancer learns at once that its search is over.
BOOST_FIXTURE_TEST_CASE(TellsTheBalancerThatTriedItsUpstream, fixture) {
  agent.OnUpstream(upstream_state::kServing, 2, false);
  Try(FromCaller(false, 1));
  agent.OnUpstreamPacket(FromUpstream(false), {}, kStart);
  BOOST_REQUIRE(out.to_balancer.size() == 1U);
  BOOST_TEST(out.to_balancer.back().has_notice());
}

// The balancer may have lost sight of the agent, and so of its service.
BOOST_FIXTURE_TEST_CASE(TakesPacketsOfAHeldFlowWhateverTheirService, fixture) {
  OpenFlow();
  const size_t delivered = out.marks.size();
  Carry(FromCaller(false, kFirstSequence + 1), 0);
  BOOST_TEST(out.marks.size() == delivered + 1);
}

BOOST_FIXTURE_TEST_CASE(ResetsAFlowThatItsUpstreamHasLost, fixture) {
  OpenFlow();
  Carry(FromCaller(false, 77));
  Return(FromCaller(false, 77));
  BOOST_REQUIRE(out.resets.size() == 1U);
  BOOST_TEST(out.resets[0] == 77U);
  BOOST_TEST(agent.held_flows() == 0U);
}

BOOST_FIXTURE_TEST_CASE(ResetsFlowsOfAnUpstreamThatHasEnded, fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kEnded, 2, true);
  const size_t before = out.marks.size();
  Carry(FromCaller(false, 77));
  BOOST_TEST(out.marks.size() == before);
  BOOST_TEST(out.resets.size() == 1U);
}

/// Flows of several callers at one upstream, each with an answered request.
struct idle_flows : fixture {
  static constexpr uint16_t kFlows = 5;
  static constexpr uint32_t kExpected = 4000;

  idle_flows() {
    for (uint16_t port = 1; port <= kFlows; ++port) {
      Carry(From(port, true, 0));
      Answer(port, true, kFirstSequence);
      Carry(From(port, false, kFirstSequence + 1));
      Answer(port, false, kExpected);
    }
  }
  static flow_packet From(uint16_t port, bool opening, uint32_t acknowledged) {
    flow_packet packet = FromCaller(opening, acknowledged);
    packet.source.port = port;
    return packet;
  }
  void Answer(uint16_t port, bool opening, uint32_t sequence) {
    flow_packet packet = FromUpstream(opening);
    packet.destination.port = port;
    packet.sequence = sequence;
    agent.OnUpstreamPacket(packet, {}, kStart);
  }
  void Crash() {
    agent.OnUpstream(upstream_state::kEnded, 2, true);
    agent.OnUpstreamEnded();
  }
};

// Pattern: an upstream crashes while most of its long flows are idle. A caller
// that sent a request that is not idempotent on one of them could not repeat
// it, so it is to hear of the end before.
BOOST_FIXTURE_TEST_CASE(CallersOfIdleFlowsAreToldThatTheirUpstreamHasEnded,
                        idle_flows) {
  Crash();
  const std::vector<uint32_t> expected(kFlows, kExpected);
  BOOST_TEST(out.resets == expected);
  BOOST_TEST(agent.busy_flows() == 0U);
  Crash();
  BOOST_TEST(out.resets.size() == kFlows);
}

// The reset may be lost on the way.
BOOST_FIXTURE_TEST_CASE(ACallerThatWasToldInVainIsToldAtItsNextPacket,
                        idle_flows) {
  Crash();
  const size_t delivered = out.marks.size();
  Carry(From(1, false, kExpected + 10));
  BOOST_TEST(out.marks.size() == delivered);
  BOOST_TEST(out.resets.size() == kFlows + 1U);
  BOOST_TEST(out.resets.back() == kExpected + 10);
}

BOOST_FIXTURE_TEST_CASE(FlowsOfAnUpstreamThatHasEndedAreNoLoadOfTheNext,
                        idle_flows) {
  Crash();
  agent.OnUpstream(upstream_state::kServing, 2, true);
  Listing();
  BOOST_TEST(out.to_balancer.back().answer().load().open_flows() == 0U);
  // A caller that was told in vain is told by way of the new upstream.
  Carry(From(1, false, kExpected));
  flow_packet returned = From(1, false, kExpected);
  returned.returned = true;
  returned.mark = out.marks.back();
  agent.OnUpstreamPacket(returned, {}, kStart);
  BOOST_TEST(out.resets.size() == kFlows + 1U);
}

BOOST_FIXTURE_TEST_CASE(FlowsThatOneEndHasFinishedAreNotReset, idle_flows) {
  flow_packet end = From(1, false, kExpected);
  end.finishing = true;
  Carry(end);
  flow_packet upstream_end = FromUpstream(false);
  upstream_end.destination.port = 2;
  upstream_end.finishing = true;
  agent.OnUpstreamPacket(upstream_end, {}, kStart);
  Crash();
  BOOST_TEST(out.resets.size() == kFlows - 2U);
}

// The caller may have taken the answer of another upstream.
BOOST_FIXTURE_TEST_CASE(AFlowThatIsNotConfirmedIsForgottenWhereItsUpstreamEnds,
                        fixture) {
  Carry(FromCaller(true, 0));
  agent.OnUpstreamPacket(FromUpstream(true), {}, kStart);
  agent.OnUpstream(upstream_state::kEnded, 2, true);
  agent.OnUpstreamEnded();
  BOOST_TEST(out.resets.empty());
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_DENIES);
}

// Its heartbeats are missing; whether it lives is not known.
BOOST_FIXTURE_TEST_CASE(KeepsFlowsOfASilentUpstream, fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kAbsent, 2, true);
  const size_t before = out.marks.size();
  Carry(FromCaller(false, 77));
  BOOST_TEST(out.marks.size() == before + 1);
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(HandsARefusedOpeningBack, fixture) {
  Carry(FromCaller(true, 0));
  Return(FromCaller(true, 0));
  BOOST_TEST((LastReason() == inner::RETURN_NO_NEW_FLOWS));
  BOOST_TEST(agent.held_flows() == 0U);
}

BOOST_FIXTURE_TEST_CASE(CountsRequestsThatWait, fixture) {
  OpenFlow();
  BOOST_TEST(agent.busy_flows() == 0U);
  Carry(FromCaller(false, 77));
  BOOST_TEST(agent.busy_flows() == 1U);
  agent.OnUpstreamPacket(FromUpstream(false), {}, kStart);
  BOOST_TEST(agent.busy_flows() == 0U);
}

// Callers that give up do not say so, and must not count as load for ever.
BOOST_FIXTURE_TEST_CASE(ForgetsRequestsThatAreNeverAnswered, fixture) {
  OpenFlow();
  Carry(FromCaller(false, 77));
  agent.Tick(kStart + kLongestRequest - absl::Milliseconds(1));
  BOOST_TEST(agent.busy_flows() == 1U);
  agent.Tick(kStart + kLongestRequest + kLoadInterval);
  BOOST_TEST(agent.busy_flows() == 0U);
  BOOST_TEST(agent.held_flows() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ForgetsFlowsThatAreOver, fixture) {
  OpenFlow();
  flow_packet end = FromCaller(false, 77);
  end.finishing = true;
  Carry(end);
  flow_packet other_end = FromUpstream(false);
  other_end.finishing = true;
  agent.OnUpstreamPacket(other_end, {}, kStart);
  BOOST_TEST(agent.busy_flows() == 0U);
  agent.Tick(kStart + kFinishedFlowLife);
  BOOST_TEST(agent.held_flows() == 0U);
}

/// Openings of many callers at one upstream with two slots.
struct burst : fixture {
  static constexpr uint32_t kRoom = 2 + kRequestsBeyondSlots;

  static flow_packet From(uint16_t port, bool opening) {
    flow_packet packet = FromCaller(opening, opening ? 0 : kFirstSequence + 1);
    packet.source.port = port;
    return packet;
  }
  void OpenFrom(uint16_t port, int ms, uint32_t patience_ms = 1000) {
    inner::carried_packet carried;
    carried.set_service(kService);
    carried.set_patience_ms(patience_ms);
    agent.OnCarried(kBalancer, carried, From(port, true), At(ms));
  }
  void AskFrom(uint16_t port, int ms) {
    inner::carried_packet carried;
    carried.set_service(kService);
    agent.OnCarried(kBalancer, carried, From(port, false), At(ms));
  }
  void Answer(uint16_t port, bool opening, int ms) {
    flow_packet packet = FromUpstream(opening);
    packet.destination.port = port;
    agent.OnUpstreamPacket(packet, {}, At(ms));
  }
  static absl::Time At(int ms) { return kStart + absl::Milliseconds(ms); }
  int64_t HandedBack() const {
    return std::count_if(
        out.to_balancer.begin(), out.to_balancer.end(),
        [](const auto& datagram) { return datagram.has_returned(); });
  }
};

// Pattern: opening burst at three times capacity.
BOOST_FIXTURE_TEST_CASE(OpeningsWaitWhileTheUpstreamHasNoRoom, burst) {
  for (uint16_t port = 1; port <= kRoom + 2; ++port) {
    OpenFrom(port, port);
  }
  BOOST_TEST(out.marks.size() == kRoom);
  BOOST_REQUIRE(out.to_balancer.size() == 2U);
  BOOST_TEST(out.to_balancer[0].notice().waits());
  // A copy of one that waits stays where it is.
  OpenFrom(kRoom + 1, 200);
  BOOST_TEST(out.marks.size() == kRoom);
  BOOST_TEST(out.to_balancer.size() == 2U);
  Answer(1, true, 10);
  AskFrom(1, 14);
  BOOST_TEST(out.marks.size() == kRoom + 1);
  Answer(1, false, 30);
  // The one that came last goes first.
  BOOST_TEST(out.marks.size() == kRoom + 2);
  BOOST_TEST(agent.busy_flows() == kRoom);
}

BOOST_FIXTURE_TEST_CASE(AnOpeningThatWaitedTooLongIsHandedBack, burst) {
  for (uint16_t port = 1; port <= kRoom; ++port) {
    OpenFrom(port, 0);
    Answer(port, true, 1);
    AskFrom(port, 2);
  }
  OpenFrom(100, 5, 400);
  BOOST_TEST((agent.NextDeadline() <= At(405)));
  agent.Tick(At(404));
  BOOST_TEST(HandedBack() == 0);
  agent.Tick(At(405));
  BOOST_TEST(HandedBack() == 1);
  // One without patience does not wait for room.
  OpenFrom(101, 500, 0);
  agent.Tick(At(500));
  BOOST_TEST(HandedBack() == 2);
}

// Pattern: drain during the burst.
BOOST_FIXTURE_TEST_CASE(WaitingOpeningsAreHandedBackAtADrain, burst) {
  for (uint16_t port = 1; port <= kRoom + 3; ++port) {
    OpenFrom(port, 0);
  }
  agent.OnUpstream(upstream_state::kDraining, 2, true);
  BOOST_TEST(HandedBack() == 3);
  BOOST_TEST(out.marks.size() == kRoom);
}

// Pattern: retries that outlive their cause.
BOOST_FIXTURE_TEST_CASE(AnOpeningWhoseCallerHasGoneMakesRoomSoon, burst) {
  for (uint16_t port = 1; port <= kRoom; ++port) {
    OpenFrom(port, 0);
    Answer(port, true, 1);
  }
  OpenFrom(100, 10);
  BOOST_TEST(out.marks.size() == kRoom);
  agent.Tick(kStart + kLongestOpening);
  BOOST_TEST(out.marks.size() == kRoom + 1);
}

// A search takes a flow that is not listed for one that is denied.
BOOST_FIXTURE_TEST_CASE(AnAgentListsEachFlowThatItDoesNotDeny, fixture) {
  BOOST_TEST(Listing().lists_all());
  BOOST_TEST(Listing().listed().empty());
  BOOST_TEST(Listing().asked_at() == 1U);
  Carry(FromCaller(true, 0));
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_UNCERTAIN);
  const std::vector<listed_hash> this_flow = {ListedHashOf({kCaller, kHost})};
  BOOST_TEST(HashesOf(Listing().listed()) == this_flow);
  OpenFlow();
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_HOLDS);
  BOOST_TEST(HashesOf(Listing().listed()) == this_flow);
  flow_packet reset = FromUpstream(false);
  reset.resetting = true;
  agent.OnUpstreamPacket(reset, {}, kStart);
  BOOST_TEST(Claim() == inner::HOLDER_CLAIM_UNCERTAIN);
  BOOST_TEST(HashesOf(Listing().listed()) == this_flow);
}

// Its upstream may hold flows that it has not seen.
BOOST_FIXTURE_TEST_CASE(AnAgentThatStartedAfterItsUpstreamListsNothing,
                        fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kServing, 2, false);
  BOOST_TEST(!Listing().lists_all());
  BOOST_TEST(Listing().listed().empty());
}

// A balancer asks again and again while callers of lost flows come back.
BOOST_FIXTURE_TEST_CASE(AListGoesOnFromWhatTheBalancerHas, fixture) {
  OpenFlow();
  const inner::holder_answer whole = Listing();
  BOOST_TEST(whole.listed_after() == 0U);
  BOOST_TEST(Listing(whole).listed().empty());
  BOOST_TEST(Listing(whole).lists_all());
  BOOST_TEST(Listing(whole).listed_after() == whole.listed_up_to());
  flow_packet packet = FromUpstream(false);
  packet.destination.port = kCaller.port + 1;
  agent.OnUpstreamPacket(packet, {}, kStart);
  const std::vector<listed_hash> added = {
      ListedHashOf(FlowFromUpstream(packet))};
  BOOST_TEST(HashesOf(Listing(whole).listed()) == added);
  // The list is of a former process.
  inner::holder_answer former = whole;
  former.set_list_run(kRun + 1);
  BOOST_TEST(HashesOf(Listing(former).listed()).size() == 2U);
  BOOST_TEST(Listing(former).listed_after() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AListThatFitsNoDatagramIsLeftOut, fixture) {
  flow_packet packet = FromUpstream(false);
  for (uint32_t i = 0; i < kMaxListedFlows; ++i) {
    packet.destination.ip = kCaller.ip + i;
    agent.OnUpstreamPacket(packet, {}, kStart);
  }
  BOOST_TEST(Listing().lists_all());
  BOOST_TEST(Listing().ByteSizeLong() <= 1280U);
  packet.destination.ip = kCaller.ip + kMaxListedFlows;
  agent.OnUpstreamPacket(packet, {}, kStart);
  BOOST_TEST(!Listing().lists_all());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
