#include "requests/request_core.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "requests/request_test_support.h"

namespace cardamomroute {
namespace {

using requests_test::bench_faults;
using requests_test::request_bench;
using requests_test::told;

void AssertPromises(const request_bench& bench) {
  RC_LOG() << bench.Summary() << "\n";
  RC_ASSERT(bench.DuplicateRuns() == 0);
  RC_ASSERT(bench.FalseNotRun() == 0);
  RC_ASSERT(bench.CrossedAnswers() == 0);
  RC_ASSERT(bench.LateGiveUps() == 0);
  RC_ASSERT(bench.WrongEnds() == 0);
}

bench_faults AnyFaults() {
  bench_faults faults;
  faults.caller_loss = *rc::gen::inRange(0, 30);
  faults.caller_repeat = *rc::gen::inRange(0, 40);
  faults.caller_late = *rc::gen::element(0, 30);
  faults.upstream_loss = *rc::gen::element(0, 0, 5, 20);
  faults.shed = *rc::gen::element(0, 0, 20, 60);
  faults.longest_run_ms = *rc::gen::element(1, 50, 500, 6000);
  faults.new_socket = *rc::gen::element(0, 40, 90);
  faults.silent_leg = *rc::gen::element(0, 0, 50);
  return faults;
}

}  // namespace

BOOST_AUTO_TEST_CASE(without_faults_every_call_is_answered) {
  request_bench bench(1, bench_faults{});
  bench.Run(6, 60, absl::Seconds(20));
  BOOST_TEST_MESSAGE(bench.Summary());
  BOOST_TEST(bench.Count(told::kAnswered) == 60);
  BOOST_TEST(bench.Runs() == 60);
}

RC_BOOST_PROP(promises_hold_whatever_the_network_and_upstream_do, ()) {
  request_bench bench(*rc::gen::arbitrary<uint64_t>(), AnyFaults());
  bench.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertPromises(bench);
}

RC_BOOST_PROP(promises_hold_through_a_drain, ()) {
  bench_faults faults = AnyFaults();
  faults.drain_at_ms = *rc::gen::inRange(1, 15000);
  request_bench bench(*rc::gen::arbitrary<uint64_t>(), faults);
  bench.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertPromises(bench);
}

RC_BOOST_PROP(promises_hold_through_a_crash, ()) {
  bench_faults faults = AnyFaults();
  faults.crash_at_ms = *rc::gen::inRange(1, 15000);
  request_bench bench(*rc::gen::arbitrary<uint64_t>(), faults);
  bench.Run(*rc::gen::inRange(1, 8), 60, absl::Seconds(10));
  AssertPromises(bench);
}

}  // namespace cardamomroute
