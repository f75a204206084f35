#include "requests/core_driver_test_support.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "requests/request_answers.h"

namespace cardamomroute::requests_test {
namespace {

call_kind Call(const char* method, const char* path, bool idempotent,
               call_class urgency, uint32_t timeout_ms) {
  call_kind call;
  call.name = path;
  call.method = method;
  call.path = path;
  call.idempotent = idempotent;
  call.urgency = urgency;
  call.timeout_ms = timeout_ms;
  return call;
}

}  // namespace

flow_key FlowOf(uint16_t port) {
  flow_key flow;
  flow.caller.port = port;
  flow.service = 3;
  return flow;
}

coap_message Request(uint8_t code, const char* path, const char* token) {
  coap_message message;
  message.code = code;
  message.token = token;
  AddOption(&message, option_number::kUriPath, path);
  return message;
}

coap_message Answer(uint8_t code, const std::string& payload) {
  coap_message answer;
  answer.code = code;
  answer.payload = payload;
  return answer;
}

core_driver::core_driver(target_id incarnation, uint32_t slots,
                         size_t dedup_capacity) {
  request_core_settings settings;
  settings.incarnation = incarnation;
  settings.slots = slots;
  settings.queue_capacity = 4;
  settings.dedup_capacity = dedup_capacity;
  settings.legs = 3;
  settings.seed = incarnation;
  settings.echo_key = "key";
  next_id_ = static_cast<uint16_t>(1000 * incarnation);
  core_ = std::make_unique<request_core>(settings);
  core_->OnServiceCalls(
      {Call("POST", "/writes", false, call_class::kCritical, 5000),
       Call("GET", "/items", true, call_class::kUrgent, 5000),
       Call("PUT", "/scans", true, call_class::kOrdinary, 5000)});
}

void core_driver::Advance(absl::Duration by) {
  const absl::Time end = now_ + by;
  while (core_->NextDeadline() <= end) {
    now_ = std::max(now_, core_->NextDeadline());
    RecordActions(core_->OnTick(now_));
  }
  now_ = end;
}

void core_driver::DeliverFromCaller(const flow_key& flow,
                                    coap_message message) {
  message.id = next_id_++;
  RecordActions(core_->OnCallerMessage(flow, SerializeCoap(message), now_));
}

void core_driver::DeliverFromUpstream(leg_id leg, const coap_message& message) {
  RecordActions(core_->OnUpstreamMessage(leg, SerializeCoap(message), now_));
}

void core_driver::Answer(const upstream_message& request, coap_message answer) {
  answer.type = message_type::kAcknowledgement;
  answer.id = request.message.id;
  answer.token = request.message.token;
  DeliverFromUpstream(request.leg, answer);
}

void core_driver::WarmUp() {
  coap_message read;
  read.code = kGetCode;
  AddOption(&read, option_number::kUriPath, "items");
  for (int i = 0; i < slot_pool::kAnswersPerIncrease; ++i) {
    DeliverFromCaller(FlowOf(5000), read);
    coap_message answer;
    answer.code = kContentCode;
    Answer(upstream_requests.back(), answer);
  }
  upstream_requests.clear();
}

void core_driver::RecordActions(const request_actions& actions) {
  for (const request_action& action : actions) {
    RecordAction(action);
  }
}

void core_driver::RecordAction(const request_action& action) {
  if (const auto* sent = std::get_if<send_to_upstream>(&action)) {
    RecordUpstreamMessage(*sent);
  } else if (const auto* response = std::get_if<send_to_caller>(&action)) {
    const coap_message message = ParseCoap(response->datagram).value();
    if (IsResponse(message)) {
      caller_responses[response->flow].push_back(message);
    }
  } else if (const auto* core_decision =
                 std::get_if<request_decision>(&action)) {
    ++decision_counts[core_decision->decision];
  } else if (const auto* idle = std::get_if<flow_idle>(&action)) {
    idle_flows.push_back(idle->flow);
  }
}

void core_driver::RecordUpstreamMessage(const send_to_upstream& sent) {
  const coap_message message = ParseCoap(sent.datagram).value();
  if (IsRequest(message)) {
    upstream_requests.push_back({sent.leg, message});
  } else {
    control_messages.push_back({sent.leg, message});
  }
}

void core_driver::AnswerProbes(leg_id silent_leg) {
  const std::vector<upstream_message> sent = std::move(control_messages);
  control_messages.clear();
  for (const upstream_message& probe : sent) {
    if (probe.leg != silent_leg &&
        probe.message.type == message_type::kConfirmable) {
      DeliverFromUpstream(
          probe.leg, MakeEmptyMessage(message_type::kReset, probe.message.id));
    }
  }
}

coap_message WriteWithEcho(core_driver* driver, const flow_key& flow,
                           const char* payload) {
  coap_message call = Request(kPostCode, "writes", "e");
  driver->DeliverFromCaller(flow, call);
  const coap_message challenge = driver->caller_responses[flow].back();
  RC_ASSERT(challenge.code == kUnauthorizedCode);
  call.payload = payload;
  SetOption(&call, option_number::kEcho,
            FindOption(challenge, option_number::kEcho)->value);
  return call;
}

coap_message UploadBlock(uint32_t number, bool more) {
  coap_message message = Request(kPutCode, "scans", "b");
  AddOption(&message, option_number::kBlock1, EncodeBlock({number, more, 2}));
  message.payload = std::string(64, 'x');
  return message;
}

coap_message DownloadRequest(uint32_t number) {
  coap_message message = Request(kGetCode, "items", "d");
  AddOption(&message, option_number::kBlock2, EncodeBlock({number, false, 2}));
  return message;
}

coap_message DownloadBlock(uint32_t number, bool more,
                           const std::string& etag) {
  coap_message answer = Answer(kContentCode, std::to_string(number));
  if (!etag.empty()) {
    SetOption(&answer, option_number::kEtag, etag);
  }
  SetOption(&answer, option_number::kBlock2, EncodeBlock({number, more, 2}));
  return answer;
}

void HandOver(core_driver* from, core_driver* to, const flow_key& flow) {
  from->RecordActions(from->core().BeginDrain(from->now()));
  // A transfer that holds a slot prevents the export of its flow.
  from->Advance(absl::Seconds(6));
  const auto state = from->core().ExportFlow(flow, from->now());
  RC_ASSERT(state.has_value());
  to->RecordActions(to->core().ImportFlow(flow, *state, to->now()).value());
}

void FillSlotAndQueue(core_driver* driver) {
  for (uint16_t i = 0; i < 5; ++i) {
    driver->DeliverFromCaller(FlowOf(static_cast<uint16_t>(100 + i)),
                              Request(kGetCode, "items", "f"));
  }
}

}  // namespace cardamomroute::requests_test
