#include <boost/test/unit_test.hpp>
#include <vector>

#include "flows/flow_world_test_support.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(large_site_test)

// Several at each upstream, opened by and by, so that load spreads them over
// all candidates of a placement.
constexpr size_t kFlows = 400;
constexpr size_t kOpenedAtOnce = 40;
constexpr int kPackets = 10;

/// As many upstreams as the larger deployments have, in two services that share
/// a route, and callers with open flows.
struct large_site {
  static flow_world::shape Shape() {
    flow_world::shape wanted;
    wanted.balancers = 6;
    wanted.agents = 54;
    wanted.second_service = 11;
    wanted.second_share = 20;
    return wanted;
  }

  large_site() : world(Shape(), 21) {
    while (world.flows() < kFlows) {
      for (size_t i = 0; i < kOpenedAtOnce; ++i) {
        world.Open();
      }
      world.Settle();
      AllTalk();
    }
    for (size_t flow = 0; flow < kFlows; ++flow) {
      BOOST_TEST(world.IsOpen(flow));
    }
  }

  void AllTalk() {
    for (size_t flow = 0; flow < world.flows(); ++flow) {
      world.Talk(flow);
    }
    world.Settle();
  }

  void RestartBalancers() {
    for (size_t i = 0; i < Shape().balancers; ++i) {
      world.RestartBalancer(i);
    }
  }
  void RestartAgents(size_t every) {
    for (size_t i = 0; i < Shape().agents; i += every) {
      world.RestartAgent(i);
    }
  }
  // Callers go on for as long as it takes to notice packets that go astray.
  void CheckThatAllFlowsGoOn() {
    std::vector<int> before;
    for (size_t flow = 0; flow < kFlows; ++flow) {
      before.push_back(world.Answered(flow));
    }
    for (int i = 0; i < kPackets; ++i) {
      AllTalk();
    }
    for (size_t flow = 0; flow < kFlows; ++flow) {
      BOOST_TEST(world.Answered(flow) >= before[flow] + kPackets);
      BOOST_TEST(!world.IsReset(flow));
    }
    BOOST_TEST(world.Breaches().living_flow_reset == 0);
    BOOST_TEST(world.Breaches().living_flow_astray == 0);
  }

  flow_world world;
};

// Issue 21: a search gave up after 24 of 54 agents, so flows of the smaller
// service of a route were never found by a balancer that had started again.
BOOST_FIXTURE_TEST_CASE(EachFlowIsFoundAmongManyUpstreams, large_site) {
  RestartBalancers();
  CheckThatAllFlowsGoOn();
}

// Issue 21: agents that had started again beside living upstreams handed
// packets of every flow that was looked for to those upstreams.
BOOST_FIXTURE_TEST_CASE(FlowsDoNotGoAstrayWhereAgentsStartAgain, large_site) {
  RestartAgents(3);
  RestartBalancers();
  CheckThatAllFlowsGoOn();
}

// Issue 21: the same where every process but the upstreams starts again.
BOOST_FIXTURE_TEST_CASE(FlowsDoNotGoAstrayAfterAnAllStop, large_site) {
  RestartAgents(1);
  RestartBalancers();
  CheckThatAllFlowsGoOn();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
