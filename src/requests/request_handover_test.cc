// Tests the handover of a flow from one request core to another.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

#include "requests/core_driver_test_support.h"

namespace cardamomroute {
namespace {

using requests_test::Answer;
using requests_test::core_driver;
using requests_test::DownloadBlock;
using requests_test::DownloadRequest;
using requests_test::FillSlotAndQueue;
using requests_test::FlowOf;
using requests_test::HandOver;
using requests_test::Request;
using requests_test::upstream_message;
using requests_test::WriteWithEcho;

}  // namespace

RC_BOOST_PROP(observe_values_increase_across_a_handover, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  coap_message registration = Request(kGetCode, "items", "tok");
  registration.type = message_type::kNonConfirmable;
  AddOption(&registration, option_number::kObserve, EncodeUint(0));
  first.DeliverFromCaller(flow, registration);

  uint32_t upstream_sequence = *rc::gen::inRange<uint32_t>(1, 1000);
  const auto notification = [&](uint32_t sequence) {
    coap_message message = Answer(kContentCode, std::to_string(sequence));
    SetOption(&message, option_number::kObserve, EncodeUint(sequence));
    return message;
  };
  const auto send_notifications = [&](core_driver* driver) {
    const upstream_message registration_request =
        driver->upstream_requests.back();
    driver->Answer(registration_request, notification(upstream_sequence));
    const int count = *rc::gen::inRange(1, 10);
    for (int i = 0; i < count; ++i) {
      // Late and duplicate notifications must not be relayed.
      const bool is_stale = *rc::gen::inRange(0, 3) == 0;
      upstream_sequence += is_stale ? 0 : 1;
      coap_message message = notification(upstream_sequence);
      message.type = message_type::kNonConfirmable;
      message.token = registration_request.message.token;
      driver->DeliverFromUpstream(registration_request.leg, message);
    }
  };
  send_notifications(&first);
  first.RecordActions(first.core().BeginDrain(first.now()));
  RC_ASSERT(first.idle_flows == std::vector<flow_key>{flow});
  const auto state = first.core().ExportFlow(flow, first.now());
  RC_ASSERT(state.has_value());
  second.RecordActions(
      second.core().ImportFlow(flow, *state, second.now()).value());
  RC_ASSERT(second.upstream_requests.size() == 1U);
  upstream_sequence = *rc::gen::inRange<uint32_t>(1, 1000);
  send_notifications(&second);

  std::vector<coap_message> responses = first.caller_responses[flow];
  const auto& successor_responses = second.caller_responses[flow];
  RC_ASSERT(!successor_responses.empty());
  responses.insert(responses.end(), successor_responses.begin(),
                   successor_responses.end());
  for (size_t i = 1; i < responses.size(); ++i) {
    RC_ASSERT(responses[i].token == "tok");
    RC_ASSERT(*FindUint(responses[i - 1], option_number::kObserve) <
              *FindUint(responses[i], option_number::kObserve));
    if (i != first.caller_responses[flow].size()) {
      RC_ASSERT(responses[i - 1].payload != responses[i].payload);
    }
  }
}

RC_BOOST_PROP(the_successor_answers_a_repeated_write_from_its_record, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  const coap_message write = WriteWithEcho(&first, flow, "one write");
  first.DeliverFromCaller(flow, write);
  first.RecordActions(first.core().BeginDrain(first.now()));
  // A request in flight prevents the export until it is answered.
  RC_ASSERT(first.idle_flows.empty());
  RC_ASSERT(!first.core().ExportFlow(flow, first.now()).has_value());
  first.Answer(first.upstream_requests.back(), Answer(kChangedCode, "done"));
  RC_ASSERT(first.caller_responses[flow].back().payload == "done");
  const auto state = first.core().ExportFlow(flow, first.now());
  second.RecordActions(
      second.core().ImportFlow(flow, *state, second.now()).value());
  second.core().OnLiveTargets({2});

  const bool from_other_socket = *rc::gen::arbitrary<bool>();
  coap_message repeat = write;
  repeat.token = "other";
  const flow_key from = from_other_socket ? FlowOf(10) : flow;
  second.DeliverFromCaller(from, repeat);
  RC_ASSERT(second.caller_responses[from].back().payload == "done");
  RC_ASSERT(second.caller_responses[from].back().token == "other");
  RC_ASSERT(second.upstream_requests.empty());
  // A different write with the same Echo value never ran and is challenged.
  repeat.payload = "another write";
  second.DeliverFromCaller(flow, repeat);
  RC_ASSERT(second.caller_responses[flow].back().code == kUnauthorizedCode);
}

RC_BOOST_PROP(a_download_continues_at_the_successor_and_is_never_shed, ()) {
  core_driver first(1);
  core_driver second(2);
  core_driver third(3);
  const flow_key flow = FlowOf(9);
  const auto blocks = *rc::gen::inRange<uint32_t>(2, 12);
  const auto first_handover_at = *rc::gen::inRange<uint32_t>(1, blocks);
  const auto second_handover_at = *rc::gen::inRange<uint32_t>(1, blocks);
  core_driver* driver = &first;
  for (uint32_t number = 0; number < blocks; ++number) {
    if (number == first_handover_at) {
      HandOver(&first, &second, flow);
      driver = &second;
    }
    if (number == second_handover_at && number > first_handover_at) {
      HandOver(&second, &third, flow);
      driver = &third;
    }
    const bool queue_is_full = driver != &first && *rc::gen::arbitrary<bool>();
    if (queue_is_full) {
      FillSlotAndQueue(driver);
    }
    const std::size_t response_count = driver->caller_responses[flow].size();
    driver->DeliverFromCaller(flow, DownloadRequest(number));
    // Once the slot is free, the block runs before all queued requests.
    if (driver->upstream_requests.back().message.options !=
        DownloadRequest(number).options) {
      RC_ASSERT(queue_is_full);
      RC_ASSERT(driver->caller_responses[flow].size() == response_count);
      driver->Answer(driver->upstream_requests.back(),
                     Answer(kContentCode, "other"));
    }
    RC_ASSERT(driver->upstream_requests.back().message.options ==
              DownloadRequest(number).options);
    const bool more = number + 1 < blocks;
    driver->Answer(driver->upstream_requests.back(),
                   DownloadBlock(number, more, "e1"));
    RC_ASSERT(driver->caller_responses[flow].size() == response_count + 1);
    RC_ASSERT(driver->caller_responses[flow].back().code == kContentCode);
    RC_ASSERT(driver->caller_responses[flow].back().payload ==
              std::to_string(number));
    RC_ASSERT(OptionValue(driver->caller_responses[flow].back(),
                          option_number::kEtag) == "e1");
  }
  for (core_driver* target : {&first, &second, &third}) {
    target->Advance(absl::Seconds(300));
    RC_ASSERT(target->core().Load().used == 0U);
  }
}

RC_BOOST_PROP(a_changed_representation_ends_an_imported_download, ()) {
  core_driver first(1);
  core_driver second(2);
  const flow_key flow = FlowOf(9);
  const std::string etag = *rc::gen::element<std::string>("", "e1");
  for (uint32_t number = 0; number < 2; ++number) {
    first.DeliverFromCaller(flow, DownloadRequest(number));
    first.Answer(first.upstream_requests.back(),
                 DownloadBlock(number, true, etag));
  }
  HandOver(&first, &second, flow);
  std::vector<coap_message>& responses = second.caller_responses[flow];
  // A repeated request for the last block is answered without the upstream.
  second.DeliverFromCaller(flow, DownloadRequest(1));
  RC_ASSERT(second.upstream_requests.empty());
  RC_ASSERT(responses.back().payload == "1");
  second.DeliverFromCaller(flow, DownloadRequest(2));
  RC_ASSERT(second.upstream_requests.size() == (etag.empty() ? 0U : 1U));
  if (!etag.empty()) {
    second.Answer(second.upstream_requests.back(),
                  *rc::gen::element(DownloadBlock(2, true, "e2"),
                                    DownloadBlock(2, false, ""),
                                    DownloadBlock(3, true, "e1"),
                                    Answer(kContentCode, "whole")));
  }
  RC_ASSERT(responses.size() == 2U);
  RC_ASSERT(responses.back().code == kRequestIncompleteCode);
  RC_ASSERT(second.core().Load().used == 0U);
  // A new download from the first block succeeds.
  second.DeliverFromCaller(flow, DownloadRequest(0));
  second.Answer(second.upstream_requests.back(), DownloadBlock(0, true, "e2"));
  second.DeliverFromCaller(flow, DownloadRequest(1));
  second.Answer(second.upstream_requests.back(), DownloadBlock(1, false, "e2"));
  RC_ASSERT(responses.size() == 4U);
  RC_ASSERT(responses.back().payload == "1");
}

RC_BOOST_PROP(credentials_of_former_holders_are_kept_until_echo_values_expire,
              ()) {
  core_driver first(1);
  core_driver second(2);
  second.core().OnLiveTargets({2});
  const flow_key flow = FlowOf(9);
  const coap_message write = WriteWithEcho(&first, flow, "one write");
  HandOver(&first, &second, flow);
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  // While this core holds the flow, a write with an expired Echo value is
  // challenged, whatever its age.
  const int minutes = *rc::gen::inRange(0, 200);
  for (int i = 0; i < minutes; ++i) {
    second.Advance(absl::Minutes(1));
    second.DeliverFromCaller(flow, Request(kGetCode, "items", "f"));
    second.Answer(second.upstream_requests.back(), Answer(kContentCode, "x"));
  }
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  const size_t before = second.upstream_requests.size();
  second.DeliverFromCaller(flow, write);
  if (minutes >= 1) {
    RC_ASSERT(second.caller_responses[flow].back().code == kUnauthorizedCode);
    RC_ASSERT(second.upstream_requests.size() == before);
  } else {
    RC_ASSERT(second.upstream_requests.size() == before + 1);
    second.Answer(second.upstream_requests.back(),
                  Answer(kChangedCode, "done"));
  }
  // The credential is kept for late copies for a while after the flow is
  // dropped and then removed.
  second.RecordActions(second.core().DropFlow(flow, second.now()));
  second.Advance(absl::Seconds(200));
  RC_ASSERT(second.core().inherited_credentials() == 1U);
  second.Advance(absl::Seconds(100));
  RC_ASSERT(second.core().inherited_credentials() == 0U);
}

}  // namespace cardamomroute
