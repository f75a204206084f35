#include "flows/upstream_watch.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(upstream_watch_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kInterval = absl::Milliseconds(770);

upstream_beat Beat(const std::string& id, int64_t started, uint64_t sequence,
                   bool draining = false) {
  upstream_beat beat;
  beat.id = id;
  beat.started_ms = started;
  beat.sequence = sequence;
  beat.draining = draining;
  return beat;
}

BOOST_AUTO_TEST_CASE(FollowsOneIncarnation) {
  upstream_watch watch(kInterval);
  BOOST_TEST((watch.State(kStart) == upstream_state::kAbsent));
  BOOST_TEST((watch.OnBeat(Beat("a", 10, 1), kStart) ==
              beat_outcome::kNewIncarnation));
  BOOST_TEST((watch.State(kStart) == upstream_state::kServing));
  BOOST_TEST(watch.KnowsAllFlows());
  BOOST_TEST(
      (watch.OnBeat(Beat("a", 10, 2, true), kStart) == beat_outcome::kTaken));
  BOOST_TEST((watch.State(kStart) == upstream_state::kDraining));
  BOOST_TEST((watch.State(kStart + 4 * kInterval) == upstream_state::kAbsent));
  watch.OnLeave("b");
  BOOST_TEST((watch.State(kStart) != upstream_state::kEnded));
  watch.OnLeave("a");
  BOOST_TEST((watch.State(kStart) == upstream_state::kEnded));
  watch.OnPacket();
  watch.OnBeat(Beat("a", 10, 3), kStart);
  BOOST_TEST((watch.State(kStart) == upstream_state::kEnded));
}

// Pattern: upstreams crash and say nothing.
BOOST_AUTO_TEST_CASE(OneThatRefusesConnectionsHasEnded) {
  upstream_watch watch(kInterval);
  BOOST_TEST(!watch.KnowsAllFlows());
  watch.OnRefused();
  BOOST_TEST((watch.State(kStart) == upstream_state::kEnded));
  BOOST_TEST(watch.KnowsAllFlows());
  watch.OnBeat(Beat("a", 10, 1), kStart);
  BOOST_TEST((watch.State(kStart) == upstream_state::kServing));
  watch.OnRefused();
  watch.OnBeat(Beat("b", 20, 1), kStart);
  BOOST_TEST((watch.State(kStart) == upstream_state::kServing));
}

BOOST_AUTO_TEST_CASE(OneThatIsHeardAfterAllMayHoldFlows) {
  upstream_watch watch(kInterval);
  watch.OnBeat(Beat("a", 10, 1, true), kStart);
  watch.OnRefused();
  watch.OnPacket();
  BOOST_TEST((watch.State(kStart) == upstream_state::kDraining));
  BOOST_TEST(!watch.KnowsAllFlows());
  watch.OnRefused();
  watch.OnBeat(Beat("a", 10, 2), kStart);
  BOOST_TEST((watch.State(kStart) == upstream_state::kDraining));
  BOOST_TEST(!watch.KnowsAllFlows());
}

BOOST_AUTO_TEST_CASE(TakesNothingBack) {
  upstream_watch watch(kInterval);
  watch.OnBeat(Beat("a", 10, 5, true), kStart);
  // Overtaken, repeated, or contradicted later.
  for (const uint64_t sequence : {4U, 5U}) {
    BOOST_TEST(
        (watch.OnBeat(Beat("a", 10, sequence), kStart) == beat_outcome::kLate));
  }
  watch.OnBeat(Beat("a", 10, 6), kStart);
  BOOST_TEST((watch.State(kStart) == upstream_state::kDraining));
}

// A heartbeat that a cut has delayed comes after its sender has ended.
BOOST_AUTO_TEST_CASE(TellsIncarnationsApart) {
  upstream_watch watch(kInterval);
  watch.OnBeat(Beat("a", 10, 7), kStart);
  BOOST_TEST(!watch.KnowsAllFlows());
  watch.OnBeat(Beat("b", 20, 1), kStart);
  BOOST_TEST(
      (watch.OnBeat(Beat("a", 10, 8, true), kStart) == beat_outcome::kLate));
  BOOST_TEST((watch.State(kStart) == upstream_state::kServing));
  // The same id again, with its counts begun anew.
  BOOST_TEST((watch.OnBeat(Beat("b", 30, 1), kStart) ==
              beat_outcome::kNewIncarnation));
  BOOST_TEST((watch.OnBeat(Beat("b", 20, 99), kStart) == beat_outcome::kLate));
  watch.OnLeave("a");
  BOOST_TEST((watch.State(kStart) != upstream_state::kEnded));
}

// The clock that the time of start comes from was put back meanwhile.
BOOST_AUTO_TEST_CASE(TakesALowerStartFromOneThatFollowsASilentOne) {
  upstream_watch watch(kInterval);
  watch.OnBeat(Beat("a", 5000, 7), kStart);
  BOOST_TEST((watch.OnBeat(Beat("b", 3000, 1), kStart) == beat_outcome::kLate));
  BOOST_TEST((watch.OnBeat(Beat("b", 3000, 2), kStart + 5 * kInterval) ==
              beat_outcome::kNewIncarnation));
}

// In whatever order heartbeats come, the latest incarnation wins, and what it
// has said of draining stands.
RC_BOOST_PROP(TheLatestIncarnationWins, ()) {
  upstream_watch watch(kInterval);
  int64_t latest = -1;
  bool draining = false;
  uint64_t sequence = 0;
  for (int i = 0; i < 40; ++i) {
    const auto started = *rc::gen::inRange<int64_t>(0, 4);
    const auto number = *rc::gen::inRange<uint64_t>(1, 12);
    const bool drains = number > 8;
    watch.OnBeat(Beat("same", started, number, drains), kStart);
    if (started > latest) {
      latest = started;
      sequence = number;
      draining = drains;
    } else if (started == latest && number > sequence) {
      sequence = number;
      draining = draining || drains;
    }
    RC_ASSERT(watch.State(kStart) == (draining ? upstream_state::kDraining
                                               : upstream_state::kServing));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
