// What an upstream is told of deadlines.
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
  request_core_settings wanted;
  wanted.incarnation = 1;
  wanted.deadline_option = deadline_option;
  wanted.echo_key = std::string(32, 'k');
  request_core core(wanted);
  call_kind read;
  read.name = "read";
  read.method = "GET";
  read.path = "/items";
  read.idempotent = true;
  read.timeout_ms = kTimeoutMs;
  core.OnServiceCalls({read});
  return core;
}

coap_message Read(uint16_t id) {
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

std::optional<uint32_t> LeftMs(const coap_message& message) {
  return FindUint(message, static_cast<option_number>(kDeadlineOption));
}

BOOST_AUTO_TEST_CASE(TheUpstreamIsToldWhatIsLeftWhenTheRequestIsSent) {
  request_core core = MakeCore(kDeadlineOption);
  const auto first =
      SentRequest(core.OnCallerMessage(Flow(), SerializeCoap(Read(1)), kStart));
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST((LeftMs(*first) == kTimeoutMs));
  // The second waits for the slot.
  const auto queued =
      core.OnCallerMessage(Flow(), SerializeCoap(Read(2)), kStart);
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
  BOOST_TEST((LeftMs(*second) == kTimeoutMs - 1000));
}

BOOST_AUTO_TEST_CASE(ACallersOwnValueIsReplaced) {
  request_core core = MakeCore(kDeadlineOption);
  coap_message message = Read(1);
  AddOption(&message, static_cast<option_number>(kDeadlineOption),
            EncodeUint(1));
  const auto sent =
      SentRequest(core.OnCallerMessage(Flow(), SerializeCoap(message), kStart));
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST((LeftMs(*sent) == kTimeoutMs));
}

BOOST_AUTO_TEST_CASE(NothingIsToldWithoutAnOption) {
  request_core core = MakeCore(0);
  const auto sent =
      SentRequest(core.OnCallerMessage(Flow(), SerializeCoap(Read(1)), kStart));
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST(sent->options.size() == 1U);
}

}  // namespace
}  // namespace cardamomroute
