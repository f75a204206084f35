#include "routing/placement_strategy.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "routing/load_book.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kSlots = 4;

const absl::Time kNow = absl::FromUnixSeconds(1000);

load_sample AnySample(uint32_t most_work) {
  load_sample sample;
  const auto work = *rc::gen::inRange<uint32_t>(0, most_work + 1);
  sample.busy_slots = std::min(work, kSlots);
  sample.queued = work - sample.busy_slots;
  sample.held_flows = *rc::gen::inRange<uint32_t>(0, 20);
  sample.usable_slots = kSlots;
  sample.measured_at = kNow;
  return sample;
}

}  // namespace

RC_BOOST_PROP(with_free_slots_on_both_the_one_with_fewer_flows_is_chosen, ()) {
  const load_sample home = AnySample(kSlots);
  const load_sample candidate = AnySample(kSlots);
  RC_ASSERT(MeasuredLoadPlacement().PrefersCandidate(home, candidate, kNow) ==
            (candidate.held_flows < home.held_flows));
}

RC_BOOST_PROP(where_work_exceeds_the_slots_no_flow_is_placed, ()) {
  load_sample home = AnySample(kSlots);
  load_sample candidate = AnySample(kSlots);
  const auto more = *rc::gen::inRange<uint32_t>(1, kSlots);
  const bool at_home = *rc::gen::arbitrary<bool>();
  (at_home ? home : candidate).queued += kSlots + more;
  RC_ASSERT(MeasuredLoadPlacement().PrefersCandidate(home, candidate, kNow) ==
            at_home);
}

RC_BOOST_PROP(flows_that_only_observe_are_left_out, ()) {
  const auto held = *rc::gen::inRange<uint32_t>(0, 20);
  const auto observing = *rc::gen::inRange<uint32_t>(0, 25);
  load_book book;
  book.OnObservingFlows(observing);
  const uint32_t left = held - std::min(held, observing);
  RC_ASSERT(book.Own(held, kNow).held_flows == left);
  packet_header header;
  book.FillHeader(held, kNow, &header);
  RC_ASSERT(header.held_flows == left);
}

}  // namespace cardamomroute
