// Tests what a core tells callers after its lease has run out: another target
// may have taken over its flows and run a copy of the request.
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "requests/request_core.h"

namespace cardamomroute {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1000);
const absl::Time kLeaseEnd = kStart + absl::Seconds(3);
/// The availability zone of the agent stands still until then.
const absl::Time kThawed = kStart + absl::Seconds(10);
constexpr std::string_view kPath = "items";

flow_key Flow() {
  flow_key flow;
  flow.caller.port = 7;
  flow.service = 3;
  return flow;
}

call_kind Call(const std::string& name, const std::string& method,
               bool idempotent) {
  call_kind call;
  call.name = name;
  call.method = method;
  call.path = "/" + std::string(kPath);
  call.idempotent = idempotent;
  call.timeout_ms = 60'000;
  return call;
}

/// A core with one slot and nobody waiting for it, so that every request but
/// the first is told that it was not run.
struct fixture {
  fixture() : core(Settings()) {
    core.OnServiceCalls({Call("read", "GET", /*idempotent=*/true),
                         Call("write", "POST", /*idempotent=*/false)});
    core.OnLease(kLeaseEnd);
  }

  static request_core_settings Settings() {
    request_core_settings settings;
    settings.incarnation = 1;
    settings.queue_capacity = 1;
    settings.echo_key = std::string(32, 'k');
    return settings;
  }

  std::optional<coap_message> Ask(uint8_t code, const std::string& echo,
                                  absl::Time now) {
    coap_message message;
    message.code = code;
    message.id = ++last_id;
    message.token = std::to_string(last_id);
    if (!echo.empty()) {
      AddOption(&message, option_number::kEcho, echo);
    }
    AddOption(&message, option_number::kUriPath, kPath);
    std::optional<coap_message> answer;
    for (const request_action& action :
         core.OnCallerMessage(Flow(), SerializeCoap(message), now)) {
      const auto* sent = std::get_if<send_to_caller>(&action);
      if (sent != nullptr) {
        answer = ParseCoap(sent->datagram).value();
      }
    }
    return answer;
  }

  // Takes the slot and the place in the queue.
  void Fill(absl::Time now) {
    BOOST_REQUIRE(!Ask(kGetCode, "", now).has_value());
    BOOST_REQUIRE(!Ask(kGetCode, "", now).has_value());
  }

  static uint8_t CodeOf(const std::optional<coap_message>& answer) {
    BOOST_REQUIRE(answer.has_value());
    return answer->code;
  }

  request_core core;
  uint16_t last_id = 0;
};

BOOST_FIXTURE_TEST_CASE(ReadsAreNotRunWithinTheLease, fixture) {
  Fill(kStart);
  BOOST_TEST(CodeOf(Ask(kGetCode, "", kStart)) == kServiceUnavailableCode);
}

// testsuite/zone_frozen: a copy that waited in the agent's socket.
BOOST_FIXTURE_TEST_CASE(ReadsAfterAThawMayHaveRunElsewhere, fixture) {
  Fill(kThawed);
  BOOST_TEST(CodeOf(Ask(kGetCode, "", kThawed)) == kGatewayTimeoutCode);
}

BOOST_FIXTURE_TEST_CASE(ReadsAreNotRunAgainOnceTheLeaseIsRenewed, fixture) {
  Fill(kThawed);
  core.OnLease(kThawed + absl::Seconds(3));
  BOOST_TEST(CodeOf(Ask(kGetCode, "", kThawed)) == kServiceUnavailableCode);
}

// Only the target that issued the Echo value runs the call.
BOOST_FIXTURE_TEST_CASE(WritesOfItsOwnStayNotRun, fixture) {
  const auto challenge = Ask(kPostCode, "", kStart);
  BOOST_REQUIRE(challenge.has_value());
  const std::string echo = OptionValue(*challenge, option_number::kEcho);
  BOOST_REQUIRE(!echo.empty());
  Fill(kThawed);
  BOOST_TEST(CodeOf(Ask(kPostCode, echo, kThawed)) == kServiceUnavailableCode);
}

}  // namespace
}  // namespace cardamomroute
