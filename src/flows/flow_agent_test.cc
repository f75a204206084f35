#include "flows/flow_agent.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "flows/agent_outlet.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(flow_agent_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr uint64_t kService = 5;
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
  fixture() : agent(kService, &out) {
    agent.OnUpstream(upstream_state::kServing, 2, true, false);
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
  inner::return_reason LastReason() const {
    return out.to_balancer.back().returned().reason();
  }

  recorder out;
  flow_agent agent;
};

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
    agent.OnUpstream(state, 2, true, false);
    Carry(FromCaller(true, 0));
    BOOST_TEST(out.marks.empty());
    BOOST_TEST((LastReason() == inner::RETURN_NO_NEW_FLOWS));
  }
}

BOOST_FIXTURE_TEST_CASE(KeepsFlowsWhileDraining, fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kDraining, 2, true, false);
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
  agent.OnUpstream(upstream_state::kServing, 2, false, false);
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.marks.size() == 1U);
  Return(FromCaller(false, 1));
  BOOST_TEST((LastReason() == inner::RETURN_NOT_HELD));
  BOOST_TEST(out.resets.empty());
}

BOOST_FIXTURE_TEST_CASE(LearnsFlowsFromItsUpstreamAfterARestart, fixture) {
  agent.OnUpstream(upstream_state::kServing, 2, false, false);
  Carry(FromCaller(false, 1));
  agent.OnUpstreamPacket(FromUpstream(false), {}, kStart);
  BOOST_TEST(agent.held_flows() == 1U);
  Carry(FromCaller(false, 1));
  BOOST_TEST(out.to_balancer.back().has_notice());
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
  agent.OnUpstream(upstream_state::kAbsent, 2, true, true);
  const size_t before = out.marks.size();
  Carry(FromCaller(false, 77));
  BOOST_TEST(out.marks.size() == before);
  BOOST_TEST(out.resets.size() == 1U);
}

// Its heartbeats are missing; whether it lives is not known.
BOOST_FIXTURE_TEST_CASE(KeepsFlowsOfASilentUpstream, fixture) {
  OpenFlow();
  agent.OnUpstream(upstream_state::kAbsent, 2, true, false);
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
