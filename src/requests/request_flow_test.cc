// Tests a single request core: uploads, response matching, observations, legs
// and the bound of the deduplication table.
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
using requests_test::core_driver;
using requests_test::FlowOf;
using requests_test::Request;
using requests_test::UploadBlock;
using requests_test::upstream_message;
using requests_test::WriteWithEcho;

}  // namespace

RC_BOOST_PROP(an_upload_counts_as_one_request_and_keeps_its_slot, ()) {
  core_driver driver(1);
  const flow_key uploader = FlowOf(1);
  const auto blocks = *rc::gen::inRange<uint32_t>(2, 12);
  for (uint32_t number = 0; number < blocks; ++number) {
    const bool more = number + 1 < blocks;
    driver.DeliverFromCaller(uploader, UploadBlock(number, more));
    // Other requests compete for the only slot and may be shed; the upload
    // continues.
    const int other_requests = *rc::gen::inRange(0, 3);
    for (int i = 0; i < other_requests; ++i) {
      driver.DeliverFromCaller(FlowOf(static_cast<uint16_t>(100 + i)),
                               Request(kGetCode, "items", "f"));
    }
    RC_ASSERT(driver.upstream_requests.size() == number + 1);
    RC_ASSERT(driver.core().Load().used == 1U);
    driver.Answer(driver.upstream_requests.back(),
                  Answer(more ? kContinueCode : kChangedCode, {}));
    RC_ASSERT(driver.caller_responses[uploader].back().code ==
              (more ? kContinueCode : kChangedCode));
    driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 300)));
  }
  RC_ASSERT(driver.caller_responses[uploader].size() == blocks);
}

RC_BOOST_PROP(responses_reach_only_the_matching_request, ()) {
  core_driver driver(1, 2);
  driver.WarmUp();
  const int rounds = *rc::gen::inRange(1, 20);
  for (int round = 0; round < rounds; ++round) {
    // Two concurrent requests with the same token.
    std::array<flow_key, 2> flows;
    for (flow_key& flow : flows) {
      flow = FlowOf(*rc::gen::inRange<uint16_t>(1, 5000));
      driver.DeliverFromCaller(flow, Request(kGetCode, "items", "same"));
    }
    std::vector<upstream_message> requests =
        std::move(driver.upstream_requests);
    driver.upstream_requests.clear();
    RC_ASSERT(requests.size() == 2U);
    std::array<int, 2> order = {0, 1};
    if (*rc::gen::arbitrary<bool>()) {
      std::swap(order[0], order[1]);
    }
    for (const int i : order) {
      coap_message answer = Answer(kContentCode, std::to_string(i));
      answer.token = requests[i].message.token;
      answer.type = message_type::kNonConfirmable;
      answer.id = *rc::gen::arbitrary<uint16_t>();
      const int copies = *rc::gen::inRange(1, 3);
      for (int copy = 0; copy < copies; ++copy) {
        driver.DeliverFromUpstream(requests[i].leg, answer);
      }
    }
    for (const int i : order) {
      auto& responses = driver.caller_responses[flows[i]];
      RC_ASSERT(responses.size() == (flows[0] == flows[1] ? 2U : 1U));
      RC_ASSERT(responses.back().token == "same");
      if (flows[0] != flows[1]) {
        RC_ASSERT(responses.back().payload == std::to_string(i));
      }
    }
    driver.caller_responses.clear();
  }
}

RC_BOOST_PROP(flows_with_only_observations_are_counted, ()) {
  core_driver driver(1);
  std::set<uint16_t> observers;
  std::set<uint16_t> callers;
  const int steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto port = *rc::gen::inRange<uint16_t>(1, 5);
    const bool is_observe_request = *rc::gen::arbitrary<bool>();
    coap_message request = Request(kGetCode, "items", "t");
    coap_message answer = Answer(kContentCode, "x");
    // Observe value 0 registers, 1 deregisters (RFC 7641, section 2).
    const uint32_t observe_value = observers.count(port) > 0 ? 1 : 0;
    if (*rc::gen::inRange(0, 10) == 0) {
      driver.RecordActions(driver.core().DropFlow(FlowOf(port), driver.now()));
      observers.erase(port);
      callers.erase(port);
    } else {
      if (is_observe_request) {
        AddOption(&request, option_number::kObserve, EncodeUint(observe_value));
        SetOption(&answer, option_number::kObserve, EncodeUint(1));
      }
      const bool begins_observation = is_observe_request && observe_value == 0;
      begins_observation ? observers.insert(port) : callers.insert(port);
      if (is_observe_request && observe_value == 1) {
        observers.erase(port);
      }
      driver.DeliverFromCaller(FlowOf(port), request);
      driver.Answer(driver.upstream_requests.back(), answer);
    }
    const auto observing_only = std::count_if(
        observers.begin(), observers.end(),
        [&](uint16_t observer) { return callers.count(observer) == 0; });
    RC_ASSERT(driver.core().Load().observing_flows == observing_only);
  }
}

RC_BOOST_PROP(only_a_lost_leg_is_reopened, ()) {
  enum class upstream_fault : uint8_t {
    kSlowUpstream,
    kHungUpstream,
    kLostLeg
  };
  const auto fault = *rc::gen::element(upstream_fault::kSlowUpstream,
                                       upstream_fault::kHungUpstream,
                                       upstream_fault::kLostLeg);
  core_driver driver(1, 2);
  const flow_key flow = FlowOf(*rc::gen::inRange<uint16_t>(1, 1000));
  driver.WarmUp();
  driver.DeliverFromCaller(flow, WriteWithEcho(&driver, flow, "one write"));
  driver.DeliverFromCaller(flow, Request(kGetCode, "items", "g"));
  RC_ASSERT(driver.upstream_requests.size() == 2U);
  const leg_id leg = driver.upstream_requests.front().leg;
  if (fault == upstream_fault::kSlowUpstream) {
    for (const upstream_message& request : driver.upstream_requests) {
      driver.DeliverFromUpstream(
          leg,
          MakeEmptyMessage(message_type::kAcknowledgement, request.message.id));
    }
  }
  for (int i = 0; i < 50; ++i) {
    driver.Advance(absl::Milliseconds(100));
    if (fault != upstream_fault::kHungUpstream) {
      driver.AnswerProbes(fault == upstream_fault::kLostLeg ? leg : 0);
    }
  }
  int writes_sent = 0;
  leg_id last_leg = leg;
  for (const upstream_message& request : driver.upstream_requests) {
    writes_sent += request.message.code == kPostCode ? 1 : 0;
    last_leg = request.leg;
  }
  const bool lost = fault == upstream_fault::kLostLeg;
  RC_ASSERT(writes_sent == 1);
  RC_ASSERT((last_leg != leg) == lost);
  RC_ASSERT(driver.decision_counts[decision_kind::kLegReopened] ==
            (lost ? 1 : 0));
  for (const coap_message& answer : driver.caller_responses[flow]) {
    RC_ASSERT(answer.code == kUnauthorizedCode ||
              answer.code == kGatewayTimeoutCode);
  }
}

RC_BOOST_PROP(a_full_dedup_table_refuses_writes_and_keeps_its_records, ()) {
  const auto bound = *rc::gen::inRange<size_t>(1, 8);
  core_driver driver(1, 1, bound);
  std::vector<coap_message> calls;
  for (size_t i = 0; i < bound; ++i) {
    const flow_key flow = FlowOf(static_cast<uint16_t>(i + 1));
    calls.push_back(WriteWithEcho(&driver, flow, "write"));
    driver.DeliverFromCaller(flow, calls.back());
    driver.Answer(driver.upstream_requests.back(),
                  Answer(kChangedCode, "done"));
  }
  // No record expires before EXCHANGE_LIFETIME.
  driver.Advance(absl::Seconds(*rc::gen::element(0, 100, 200, 245)));
  const flow_key refused_flow = FlowOf(100);
  const coap_message refused_write =
      WriteWithEcho(&driver, refused_flow, "write");
  driver.DeliverFromCaller(refused_flow, refused_write);
  RC_ASSERT(driver.caller_responses[refused_flow].back().code ==
            kServiceUnavailableCode);
  if (*rc::gen::arbitrary<bool>()) {
    const auto index = *rc::gen::inRange<size_t>(0, bound);
    driver.DeliverFromCaller(FlowOf(999), calls[index]);
    RC_ASSERT(driver.caller_responses[FlowOf(999)].back().payload == "done");
  }
  // A late copy of the refused write does not run once the table has room,
  // although its Echo value has not expired.
  driver.Advance(absl::Seconds(*rc::gen::element(1, 30, 58)));
  driver.DeliverFromCaller(FlowOf(101), refused_write);
  RC_ASSERT(driver.upstream_requests.size() == bound);
}

}  // namespace cardamomroute
