#include "requests/request_core.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "requests/request_test_support.h"

namespace cardamomroute {
namespace {

using requests_test::call_outcome;
using requests_test::request_simulation;
using requests_test::simulation_faults;

void AssertInvariants(const request_simulation& simulation) {
  RC_LOG() << simulation.Summary() << "\n";
  RC_ASSERT(simulation.DuplicateRuns() == 0);
  RC_ASSERT(simulation.FalseNotRunResponses() == 0);
  RC_ASSERT(simulation.MismatchedResponses() == 0);
  RC_ASSERT(simulation.UnansweredNotRunDecisions() == 0);
  RC_ASSERT(simulation.WrongCompletions() == 0);
}

simulation_faults RandomFaults() {
  simulation_faults faults;
  faults.caller_loss_percent = *rc::gen::inRange(0, 30);
  faults.caller_duplicate_percent = *rc::gen::inRange(0, 40);
  faults.caller_delay_percent = *rc::gen::element(0, 30);
  faults.upstream_loss_percent = *rc::gen::element(0, 0, 5, 20);
  faults.upstream_shed_percent = *rc::gen::element(0, 0, 20, 60);
  faults.max_run_ms = *rc::gen::element(1, 50, 500, 6000);
  faults.new_socket_percent = *rc::gen::element(0, 40, 90);
  faults.silent_leg_percent = *rc::gen::element(0, 0, 50);
  return faults;
}

}  // namespace

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered) {
  request_simulation simulation(1, simulation_faults{});
  simulation.Run(6, 60, absl::Seconds(20));
  BOOST_TEST_MESSAGE(simulation.Summary());
  BOOST_TEST(simulation.Count(call_outcome::kAnswered) == 60);
  BOOST_TEST(simulation.Runs() == 60);
}

RC_BOOST_PROP(invariants_hold_under_random_faults, ()) {
  request_simulation simulation(*rc::gen::arbitrary<uint64_t>(),
                                RandomFaults());
  simulation.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertInvariants(simulation);
}

RC_BOOST_PROP(invariants_hold_during_a_drain, ()) {
  simulation_faults faults = RandomFaults();
  faults.drain_at_ms = *rc::gen::inRange(1, 15000);
  request_simulation simulation(*rc::gen::arbitrary<uint64_t>(), faults);
  simulation.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertInvariants(simulation);
}

RC_BOOST_PROP(invariants_hold_after_a_crash, ()) {
  simulation_faults faults = RandomFaults();
  faults.crash_at_ms = *rc::gen::inRange(1, 15000);
  request_simulation simulation(*rc::gen::arbitrary<uint64_t>(), faults);
  simulation.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertInvariants(simulation);
}

}  // namespace cardamomroute
