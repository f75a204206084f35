// Request cores that hand a flow over to one another.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "requests/core_driver_test_support.h"

namespace cardamomroute {
namespace {

using requests_test::Answer;
using requests_test::AskBlock;
using requests_test::core_driver;
using requests_test::Crowd;
using requests_test::FileBlock;
using requests_test::FlowOf;
using requests_test::FreshWrite;
using requests_test::HandOver;
using requests_test::Request;
using requests_test::upstream_request;

}  // namespace

RC_BOOST_PROP(sequence_numbers_rise_across_a_handover, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  coap_message registration = Request(kGetCode, "items", "tok");
  registration.type = message_type::kNonConfirmable;
  AddOption(&registration, option_number::kObserve, EncodeUint(0));
  first.FromCaller(flow, registration);

  uint32_t upstream_sequence = *rc::gen::inRange<uint32_t>(1, 1000);
  const auto notification = [&](uint32_t sequence) {
    coap_message message = Answer(kContentCode, std::to_string(sequence));
    SetOption(&message, option_number::kObserve, EncodeUint(sequence));
    return message;
  };
  const auto notify = [&](core_driver* driver) {
    const upstream_request to = driver->upstream.back();
    driver->Answer(to, notification(upstream_sequence));
    const int count = *rc::gen::inRange(1, 10);
    for (int i = 0; i < count; ++i) {
      // Some come late or twice and must not be passed on.
      const bool late = *rc::gen::inRange(0, 3) == 0;
      upstream_sequence += late ? 0 : 1;
      coap_message message = notification(upstream_sequence);
      message.type = message_type::kNonConfirmable;
      message.token = to.message.token;
      driver->FromUpstream(to.leg, message);
    }
  };
  notify(&first);
  first.Take(first.core().BeginDrain(first.now()));
  RC_ASSERT(first.idle_flows == std::vector<flow_key>{flow});
  const auto state = first.core().ExportFlow(flow, first.now());
  RC_ASSERT(state.has_value());
  second.Take(second.core().ImportFlow(flow, *state, second.now()).value());
  RC_ASSERT(second.upstream.size() == 1U);
  upstream_sequence = *rc::gen::inRange<uint32_t>(1, 1000);
  notify(&second);

  std::vector<coap_message> told = first.callers[flow];
  const auto& later = second.callers[flow];
  RC_ASSERT(!later.empty());
  told.insert(told.end(), later.begin(), later.end());
  for (size_t i = 1; i < told.size(); ++i) {
    RC_ASSERT(told[i].token == "tok");
    RC_ASSERT(*FindUint(told[i - 1], option_number::kObserve) <
              *FindUint(told[i], option_number::kObserve));
    if (i != first.callers[flow].size()) {
      RC_ASSERT(told[i - 1].payload != told[i].payload);
    }
  }
}

RC_BOOST_PROP(a_repeat_is_answered_by_the_successor_from_the_record, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  const coap_message call = FreshWrite(&first, flow, "one write");
  first.FromCaller(flow, call);
  first.Take(first.core().BeginDrain(first.now()));
  // A request in flight keeps the flow here until it is answered.
  RC_ASSERT(first.idle_flows.empty());
  RC_ASSERT(!first.core().ExportFlow(flow, first.now()).has_value());
  first.Answer(first.upstream.back(), Answer(kChangedCode, "done"));
  RC_ASSERT(first.callers[flow].back().payload == "done");
  const auto state = first.core().ExportFlow(flow, first.now());
  second.Take(second.core().ImportFlow(flow, *state, second.now()).value());
  second.core().OnLiveTargets({2});

  const bool other_socket = *rc::gen::arbitrary<bool>();
  coap_message repeat = call;
  repeat.token = "other";
  const flow_key from = other_socket ? FlowOf(10) : flow;
  second.FromCaller(from, repeat);
  RC_ASSERT(second.callers[from].back().payload == "done");
  RC_ASSERT(second.callers[from].back().token == "other");
  RC_ASSERT(second.upstream.empty());
  // Another write under the old Echo value was never run: it is challenged.
  repeat.payload = "another write";
  second.FromCaller(flow, repeat);
  RC_ASSERT(second.callers[flow].back().code == kUnauthorizedCode);
}
RC_BOOST_PROP(a_download_goes_on_at_the_successor_and_is_never_shed, ()) {
  core_driver first(1);
  core_driver second(2);
  core_driver third(3);
  const flow_key flow = FlowOf(9);
  const auto blocks = *rc::gen::inRange<uint32_t>(2, 12);
  const auto handed_at = *rc::gen::inRange<uint32_t>(1, blocks);
  const auto again_at = *rc::gen::inRange<uint32_t>(1, blocks);
  core_driver* driver = &first;
  for (uint32_t number = 0; number < blocks; ++number) {
    if (number == handed_at) {
      HandOver(&first, &second, flow);
      driver = &second;
    }
    if (number == again_at && number > handed_at) {
      HandOver(&second, &third, flow);
      driver = &third;
    }
    const bool crowded = driver != &first && *rc::gen::arbitrary<bool>();
    if (crowded) {
      Crowd(driver);
    }
    const std::size_t told = driver->callers[flow].size();
    driver->FromCaller(flow, AskBlock(number));
    // The slot comes free; the block goes before all that waited.
    if (driver->upstream.back().message.options != AskBlock(number).options) {
      RC_ASSERT(crowded);
      RC_ASSERT(driver->callers[flow].size() == told);
      driver->Answer(driver->upstream.back(), Answer(kContentCode, "other"));
    }
    RC_ASSERT(driver->upstream.back().message.options ==
              AskBlock(number).options);
    const bool more = number + 1 < blocks;
    driver->Answer(driver->upstream.back(), FileBlock(number, more, "e1"));
    RC_ASSERT(driver->callers[flow].size() == told + 1);
    RC_ASSERT(driver->callers[flow].back().code == kContentCode);
    RC_ASSERT(driver->callers[flow].back().payload == std::to_string(number));
    RC_ASSERT(OptionValue(driver->callers[flow].back(), option_number::kEtag) ==
              "e1");
  }
  for (core_driver* each : {&first, &second, &third}) {
    each->Advance(absl::Seconds(300));
    RC_ASSERT(each->core().Load().used == 0U);
  }
}

RC_BOOST_PROP(another_representation_ends_a_download_at_once, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  const std::string etag = *rc::gen::element<std::string>("", "e1");
  for (uint32_t number = 0; number < 2; ++number) {
    first.FromCaller(flow, AskBlock(number));
    first.Answer(first.upstream.back(), FileBlock(number, true, etag));
  }
  HandOver(&first, &second, flow);
  std::vector<coap_message>& told = second.callers[flow];
  // A repeat of the last block needs no upstream.
  second.FromCaller(flow, AskBlock(1));
  RC_ASSERT(second.upstream.empty());
  RC_ASSERT(told.back().payload == "1");
  second.FromCaller(flow, AskBlock(2));
  RC_ASSERT(second.upstream.size() == (etag.empty() ? 0U : 1U));
  if (!etag.empty()) {
    second.Answer(second.upstream.back(),
                  *rc::gen::element(
                      FileBlock(2, true, "e2"), FileBlock(2, false, ""),
                      FileBlock(3, true, "e1"), Answer(kContentCode, "whole")));
  }
  RC_ASSERT(told.size() == 2U);
  RC_ASSERT(told.back().code == kRequestIncompleteCode);
  RC_ASSERT(second.core().Load().used == 0U);
  // From the first block on it goes as ever.
  second.FromCaller(flow, AskBlock(0));
  second.Answer(second.upstream.back(), FileBlock(0, true, "e2"));
  second.FromCaller(flow, AskBlock(1));
  second.Answer(second.upstream.back(), FileBlock(1, false, "e2"));
  RC_ASSERT(told.size() == 4U);
  RC_ASSERT(told.back().payload == "1");
}

RC_BOOST_PROP(credentials_of_former_holders_are_kept_while_of_use, ()) {
  core_driver first(1);
  core_driver second(2);
  second.core().OnLiveTargets({2});
  const flow_key flow = FlowOf(9);
  const coap_message call = FreshWrite(&first, flow, "one write");
  HandOver(&first, &second, flow);
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  // While the flow is here an old value is challenged, however old.
  const int minutes = *rc::gen::inRange(0, 200);
  for (int i = 0; i < minutes; ++i) {
    second.Advance(absl::Minutes(1));
    second.FromCaller(flow, Request(kGetCode, "items", "f"));
    second.Answer(second.upstream.back(), Answer(kContentCode, "x"));
  }
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  const size_t before = second.upstream.size();
  second.FromCaller(flow, call);
  if (minutes >= 1) {
    RC_ASSERT(second.callers[flow].back().code == kUnauthorizedCode);
    RC_ASSERT(second.upstream.size() == before);
  } else {
    RC_ASSERT(second.upstream.size() == before + 1);
    second.Answer(second.upstream.back(), Answer(kChangedCode, "done"));
  }
  // Late copies are answered after the flow has gone; then nothing is left.
  second.Take(second.core().DropFlow(flow, second.now()));
  second.Advance(absl::Seconds(200));
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  second.Advance(absl::Seconds(100));
  RC_ASSERT(second.core().inherited_credentials() == 0U);
}

}  // namespace cardamomroute
