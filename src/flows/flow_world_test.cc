#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "flows/flow_world_test_support.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(flow_world_test)

constexpr int kSteps = 60;

void CheckPromises(const flow_world& world) {
  RC_ASSERT(world.Breaches().living_flow_reset == 0);
  RC_ASSERT(world.Breaches().opening_at_wrong_service == 0);
  RC_ASSERT(world.Breaches().opening_while_draining == 0);
  RC_ASSERT(world.Breaches().bytes_changed == 0);
}

void Disturb(flow_world* world, bool restarts_upstreams) {
  const auto draw = [world](size_t most) {
    return static_cast<size_t>(world->Random()() % most);
  };
  switch (draw(8)) {
    case 0:
      world->RestartBalancer(draw(3));
      break;
    case 1:
      world->RestartAgent(draw(4));
      break;
    case 2:
      if (restarts_upstreams) {
        world->RestartUpstream(draw(4));
      } else {
        world->Drain(draw(2));
      }
      break;
    case 3:
    case 4:
      world->Open();
      break;
    default:
      if (world->flows() > 0) {
        world->Talk(draw(world->flows()));
      }
      break;
  }
}

// Loss, late messages, restarts of every process, upstreams that end.
RC_BOOST_PROP(NoLivingFlowIsResetWhateverHappens, ()) {
  flow_world::shape wanted;
  wanted.loss = *rc::gen::inRange(0U, 30U);
  wanted.late = *rc::gen::inRange(0U, 60U);
  flow_world world(wanted, *rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < kSteps; ++i) {
    Disturb(&world, true);
    if (world.Random()() % 3 == 0) {
      world.Settle();
    }
  }
  CheckPromises(world);
}

// Whatever was forgotten on the way, each open flow is found again through any
// balancer once messages get through.
RC_BOOST_PROP(EveryOpenFlowIsFoundAgain, ()) {
  flow_world::shape wanted;
  wanted.loss = *rc::gen::inRange(0U, 20U);
  flow_world world(wanted, *rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < kSteps; ++i) {
    Disturb(&world, false);
    world.Settle();
  }
  world.SetLoss(0);
  for (size_t flow = 0; flow < world.flows(); ++flow) {
    if (!world.IsOpen(flow)) {
      continue;
    }
    const int before = world.Answered(flow);
    // The first packet may end a search that waits for a lost message.
    world.Talk(flow);
    world.Settle();
    world.Talk(flow);
    world.Settle();
    RC_ASSERT(world.Answered(flow) >= before + 1);
    RC_ASSERT(!world.IsReset(flow));
  }
  CheckPromises(world);
}

// A caller whose upstream has lost the flow is told so with its next packet.
RC_BOOST_PROP(FlowsOfALostUpstreamEndAtOnce, ()) {
  flow_world world({}, *rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < 6; ++i) {
    world.Open();
    world.Settle();
    world.Talk(world.flows() - 1);
    world.Settle();
  }
  const size_t lost = world.UpstreamOf(0);
  world.RestartUpstream(lost);
  if (*rc::gen::arbitrary<bool>()) {
    world.RestartBalancer(0);
    world.RestartBalancer(1);
    world.RestartBalancer(2);
  }
  for (size_t flow = 0; flow < world.flows(); ++flow) {
    world.Talk(flow);
    world.Settle();
    RC_ASSERT(world.IsReset(flow) == !world.IsOpen(flow));
  }
  RC_ASSERT(world.IsReset(0));
  CheckPromises(world);
}

// Openings that callers repeat may be answered by two upstreams; the caller's
// next packet decides.
RC_BOOST_PROP(ARepeatedOpeningEndsAtOneUpstream, ()) {
  flow_world::shape wanted;
  wanted.loss = 40;
  flow_world world(wanted, *rc::gen::arbitrary<uint64_t>());
  for (int i = 0; i < 10; ++i) {
    const size_t flow = world.Open();
    world.Settle();
    world.Talk(flow);
    world.Settle();
  }
  CheckPromises(world);
}

// The load evens out: no upstream gets more than its share and one flow.
BOOST_AUTO_TEST_CASE(NewFlowsGoWhereTheFewestAre) {
  flow_world::shape wanted;
  wanted.balancers = 1;
  flow_world world(wanted, 7);
  constexpr size_t kFlows = 30;
  constexpr size_t kUpstreams = 3;
  std::vector<size_t> counts(kUpstreams);
  for (size_t i = 0; i < kFlows; ++i) {
    const size_t flow = world.Open();
    world.Settle();
    world.Talk(flow);
    world.Settle();
    BOOST_REQUIRE(world.IsOpen(flow));
    ++counts.at(world.UpstreamOf(flow));
  }
  for (const size_t count : counts) {
    BOOST_TEST(count >= kFlows / kUpstreams - 1);
    BOOST_TEST(count <= kFlows / kUpstreams + 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
