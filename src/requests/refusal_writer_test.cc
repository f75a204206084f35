#include "requests/refusal_writer.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "view/view_change.h"

namespace cardamomroute {
namespace {

constexpr service_id kService = 3;
constexpr uint32_t kMaxAge = 2;

view_change ChangeWith(bool idempotent) {
  call_kind write;
  write.method = "POST";
  write.path = "/writes";
  write.idempotent = idempotent;
  service item;
  item.id = kService;
  item.calls = {write};
  view_change change;
  change.services = {item};
  return change;
}

coap_message Write(bool has_echo, const char* path) {
  coap_message message;
  message.code = kPostCode;
  message.id = 9;
  message.token = "t";
  AddOption(&message, option_number::kUriPath, path);
  if (has_echo) {
    AddOption(&message, option_number::kEcho, "value");
  }
  return message;
}

uint8_t CodeOfAnswer(const refusal_writer& writer, service_id service,
                     const coap_message& request) {
  const coap_message answer =
      ParseCoap(writer.Write(service, SerializeCoap(request), kMaxAge)).value();
  RC_ASSERT(answer.id == request.id);
  RC_ASSERT(answer.token == request.token);
  RC_ASSERT(FindUint(answer, option_number::kMaxAge) == kMaxAge);
  return answer.code;
}

RC_BOOST_PROP(OnlyRequestsMissingARequiredEchoAreReportedAsNotRun, ()) {
  const auto idempotent = *rc::gen::arbitrary<bool>();
  const auto has_echo = *rc::gen::arbitrary<bool>();
  const auto is_known = *rc::gen::arbitrary<bool>();
  const auto is_listed = *rc::gen::arbitrary<bool>();
  refusal_writer writer;
  writer.OnChange(ChangeWith(idempotent));
  const bool cannot_have_run =
      is_known && is_listed && !idempotent && !has_echo;
  const uint8_t code =
      CodeOfAnswer(writer, is_known ? kService : kService + 1,
                   Write(has_echo, is_listed ? "writes" : "others"));
  RC_ASSERT(code ==
            (cannot_have_run ? kServiceUnavailableCode : kGatewayTimeoutCode));
}

BOOST_AUTO_TEST_CASE(RemovedServiceIsNoLongerMatched) {
  refusal_writer writer;
  writer.OnChange(ChangeWith(false));
  view_change removal;
  removal.from_version = 1;
  removal.removed_services = {kService};
  writer.OnChange(removal);
  BOOST_TEST(CodeOfAnswer(writer, kService, Write(false, "writes")) ==
             kGatewayTimeoutCode);
}

BOOST_AUTO_TEST_CASE(NonRequestDatagramsGetNoAnswer) {
  const refusal_writer writer;
  BOOST_TEST(writer.Write(kService, "", kMaxAge).empty());
  BOOST_TEST(writer.Write(kService, "no message", kMaxAge).empty());
  coap_message answer;
  answer.code = kContentCode;
  BOOST_TEST(writer.Write(kService, SerializeCoap(answer), kMaxAge).empty());
}

}  // namespace
}  // namespace cardamomroute
