// One request core in the hands of a test: transfers, legs, bounds.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "requests/core_driver_test_support.h"
#include "requests/request_answers.h"

namespace cardamomroute {
namespace {

using requests_test::Answer;
using requests_test::Block;
using requests_test::core_driver;
using requests_test::FlowOf;
using requests_test::FreshWrite;
using requests_test::Request;
using requests_test::upstream_request;

}  // namespace

RC_BOOST_PROP(an_upload_is_one_request_and_keeps_its_slot, ()) {
  core_driver driver(1);
  const flow_key uploader = FlowOf(1);
  const auto blocks = *rc::gen::inRange<uint32_t>(2, 12);
  for (uint32_t number = 0; number < blocks; ++number) {
    const bool more = number + 1 < blocks;
    driver.FromCaller(uploader, Block(number, more));
    // Others want the only slot and may be shed; the upload goes on.
    const int others = *rc::gen::inRange(0, 3);
    for (int i = 0; i < others; ++i) {
      driver.FromCaller(FlowOf(static_cast<uint16_t>(100 + i)),
                        Request(kGetCode, "items", "f"));
    }
    RC_ASSERT(driver.upstream.size() == number + 1);
    RC_ASSERT(driver.core().Load().used == 1U);
    driver.Answer(driver.upstream.back(),
                  Answer(more ? kContinueCode : kChangedCode, {}));
    RC_ASSERT(driver.callers[uploader].back().code ==
              (more ? kContinueCode : kChangedCode));
    driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 300)));
  }
  RC_ASSERT(driver.callers[uploader].size() == blocks);
}

RC_BOOST_PROP(answers_go_to_their_own_request_or_nowhere, ()) {
  core_driver driver(1, 2);
  driver.WarmUp();
  const int rounds = *rc::gen::inRange(1, 20);
  for (int round = 0; round < rounds; ++round) {
    // Two callers at a time, with the same token.
    std::array<flow_key, 2> flows;
    for (flow_key& flow : flows) {
      flow = FlowOf(*rc::gen::inRange<uint16_t>(1, 5000));
      driver.FromCaller(flow, Request(kGetCode, "items", "same"));
    }
    std::vector<upstream_request> asked = std::move(driver.upstream);
    driver.upstream.clear();
    RC_ASSERT(asked.size() == 2U);
    std::array<int, 2> order = {0, 1};
    if (*rc::gen::arbitrary<bool>()) {
      std::swap(order[0], order[1]);
    }
    for (const int i : order) {
      coap_message answer = Answer(kContentCode, std::to_string(i));
      answer.token = asked[i].message.token;
      answer.type = message_type::kNonConfirmable;
      answer.id = *rc::gen::arbitrary<uint16_t>();
      const int copies = *rc::gen::inRange(1, 3);
      for (int copy = 0; copy < copies; ++copy) {
        driver.FromUpstream(asked[i].leg, answer);
      }
    }
    for (const int i : order) {
      auto& told = driver.callers[flows[i]];
      RC_ASSERT(told.size() == (flows[0] == flows[1] ? 2U : 1U));
      RC_ASSERT(told.back().token == "same");
      if (flows[0] != flows[1]) {
        RC_ASSERT(told.back().payload == std::to_string(i));
      }
    }
    driver.callers.clear();
  }
}

RC_BOOST_PROP(flows_that_only_observe_are_counted, ()) {
  core_driver driver(1);
  std::set<uint16_t> observers;
  std::set<uint16_t> callers;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto port = *rc::gen::inRange<uint16_t>(1, 5);
    const bool observes = *rc::gen::arbitrary<bool>();
    coap_message request = Request(kGetCode, "items", "t");
    coap_message answer = Answer(kContentCode, "x");
    // 0 begins an observation, 1 ends it.
    const uint32_t value = observers.count(port) > 0 ? 1 : 0;
    if (*rc::gen::inRange(0, 10) == 0) {
      driver.Take(driver.core().DropFlow(FlowOf(port), driver.now()));
      observers.erase(port);
      callers.erase(port);
    } else {
      if (observes) {
        AddOption(&request, option_number::kObserve, EncodeUint(value));
        SetOption(&answer, option_number::kObserve, EncodeUint(1));
      }
      const bool begins = observes && value == 0;
      begins ? observers.insert(port) : callers.insert(port);
      if (observes && value == 1) {
        observers.erase(port);
      }
      driver.FromCaller(FlowOf(port), request);
      driver.Answer(driver.upstream.back(), answer);
    }
    const auto only =
        std::count_if(observers.begin(), observers.end(),
                      [&](uint16_t each) { return callers.count(each) == 0; });
    RC_ASSERT(driver.core().Load().observing_flows == only);
  }
}

RC_BOOST_PROP(a_lost_leg_is_reopened_and_a_slow_upstream_is_waited_for, ()) {
  enum class trouble : uint8_t { kSlowUpstream, kHungUpstream, kLostLeg };
  const auto which = *rc::gen::element(
      trouble::kSlowUpstream, trouble::kHungUpstream, trouble::kLostLeg);
  core_driver driver(1, 2);
  const flow_key flow = FlowOf(*rc::gen::inRange<uint16_t>(1, 1000));
  driver.WarmUp();
  driver.FromCaller(flow, FreshWrite(&driver, flow, "one write"));
  driver.FromCaller(flow, Request(kGetCode, "items", "g"));
  RC_ASSERT(driver.upstream.size() == 2U);
  const leg_id leg = driver.upstream.front().leg;
  if (which == trouble::kSlowUpstream) {
    for (const upstream_request& request : driver.upstream) {
      driver.FromUpstream(leg, MakeEmptyMessage(message_type::kAcknowledgement,
                                                request.message.id));
    }
  }
  for (int i = 0; i < 50; ++i) {
    driver.Advance(absl::Milliseconds(100));
    if (which != trouble::kHungUpstream) {
      driver.AnswerProbes(which == trouble::kLostLeg ? leg : 0);
    }
  }
  int writes_sent = 0;
  leg_id last_leg = leg;
  for (const upstream_request& request : driver.upstream) {
    writes_sent += request.message.code == kPostCode ? 1 : 0;
    last_leg = request.leg;
  }
  const bool lost = which == trouble::kLostLeg;
  RC_ASSERT(writes_sent == 1);
  RC_ASSERT((last_leg != leg) == lost);
  RC_ASSERT(driver.decisions[decision_kind::kLegReopened] == (lost ? 1 : 0));
  for (const coap_message& answer : driver.callers[flow]) {
    RC_ASSERT(answer.code == kUnauthorizedCode ||
              answer.code == kGatewayTimeoutCode);
  }
}

RC_BOOST_PROP(a_full_dedup_table_refuses_and_forgets_nothing, ()) {
  const auto bound = *rc::gen::inRange<size_t>(1, 8);
  core_driver driver(1, 1, bound);
  std::vector<coap_message> calls;
  for (size_t i = 0; i < bound; ++i) {
    const flow_key flow = FlowOf(static_cast<uint16_t>(i + 1));
    calls.push_back(FreshWrite(&driver, flow, "write"));
    driver.FromCaller(flow, calls.back());
    driver.Answer(driver.upstream.back(), Answer(kChangedCode, "done"));
  }
  // Nothing is forgotten up to the end of EXCHANGE_LIFETIME.
  driver.Advance(absl::Seconds(*rc::gen::element(0, 100, 200, 245)));
  const flow_key refused = FlowOf(100);
  const coap_message late = FreshWrite(&driver, refused, "write");
  driver.FromCaller(refused, late);
  RC_ASSERT(driver.callers[refused].back().code == kServiceUnavailableCode);
  if (*rc::gen::arbitrary<bool>()) {
    const auto index = *rc::gen::inRange<size_t>(0, bound);
    driver.FromCaller(FlowOf(999), calls[index]);
    RC_ASSERT(driver.callers[FlowOf(999)].back().payload == "done");
  }
  // A late copy of the refused call does not run when there is room again,
  // though its Echo value is not yet old.
  driver.Advance(absl::Seconds(*rc::gen::element(1, 30, 58)));
  driver.FromCaller(FlowOf(101), late);
  RC_ASSERT(driver.upstream.size() == bound);
}

}  // namespace cardamomroute
