// Tests the option that carries the remaining time of a request to the
// upstream.
#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <variant>

#include "requests/request_core.h"

namespace cardamomroute {
namespace {

constexpr uint16_t kDeadlineOption = 65020;
constexpr uint32_t kTimeoutMs = 4000;
const absl::Time kStart = absl::FromUnixSeconds(1000);

request_core MakeCore(uint16_t deadline_option) {
  request_core_settings settings;
  settings.incarnation = 1;
  settings.deadline_option = deadline_option;
  settings.echo_key = std::string(32, 'k');
  request_core core(settings);
  call_kind read;
  read.name = "read";
  read.method = "GET";
  read.path = "/items";
  read.idempotent = true;
  read.timeout_ms = kTimeoutMs;
  core.OnServiceCalls({read});
  return core;
}

coap_message MakeRead(uint16_t id) {
  coap_message message;
  message.code = kGetCode;
  message.id = id;
  message.token = std::to_string(id);
  AddOption(&message, option_number::kUriPath, "items");
  return message;
}

flow_key Flow() {
  flow_key flow;
  flow.caller.port = 7;
  flow.service = 3;
  return flow;
}

std::optional<coap_message> SentRequest(const request_actions& actions) {
  for (const request_action& action : actions) {
    const auto* sent = std::get_if<send_to_upstream>(&action);
    if (sent != nullptr) {
      return ParseCoap(sent->datagram).value();
    }
  }
  return std::nullopt;
}

std::optional<uint32_t> DeadlineOptionMs(const coap_message& message) {
  return FindUint(message, static_cast<option_number>(kDeadlineOption));
}

BOOST_AUTO_TEST_CASE(UpstreamReceivesTimeLeftAtTransmission) {
  request_core core = MakeCore(kDeadlineOption);
  const auto first = SentRequest(
      core.OnCallerMessage(Flow(), SerializeCoap(MakeRead(1)), kStart));
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((DeadlineOptionMs(*first) == kTimeoutMs));
  // The second request waits for the only slot.
  const auto queued =
      core.OnCallerMessage(Flow(), SerializeCoap(MakeRead(2)), kStart);
  BOOST_TEST(!SentRequest(queued).has_value());
  coap_message answer;
  answer.type = message_type::kAcknowledgement;
  answer.code = kContentCode;
  answer.id = first->id;
  answer.token = first->token;
  const leg_id leg = 1;
  const auto second = SentRequest(core.OnUpstreamMessage(
      leg, SerializeCoap(answer), kStart + absl::Seconds(1)));
  BOOST_REQUIRE(second.has_value());
  BOOST_TEST((DeadlineOptionMs(*second) == kTimeoutMs - 1000));
}

BOOST_AUTO_TEST_CASE(DeadlineOptionOfCallerIsReplaced) {
  request_core core = MakeCore(kDeadlineOption);
  coap_message message = MakeRead(1);
  AddOption(&message, static_cast<option_number>(kDeadlineOption),
            EncodeUint(1));
  const auto sent =
      SentRequest(core.OnCallerMessage(Flow(), SerializeCoap(message), kStart));
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST((DeadlineOptionMs(*sent) == kTimeoutMs));
}

BOOST_AUTO_TEST_CASE(NoDeadlineIsSentWithoutConfiguredOption) {
  request_core core = MakeCore(0);
  const auto sent = SentRequest(
      core.OnCallerMessage(Flow(), SerializeCoap(MakeRead(1)), kStart));
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(sent->options.size() == 1U);
}

}  // namespace
}  // namespace cardamomroute
