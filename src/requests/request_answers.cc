#include "requests/request_answers.h"

#include <xxhash.h>

#include <string>

namespace cardamomroute {
namespace {

coap_message MakeAnswer(uint8_t code, std::string_view payload) {
  coap_message answer;
  answer.code = code;
  answer.payload = std::string(payload);
  return answer;
}

}  // namespace

coap_message MakeNotRunAnswer(uint32_t max_age) {
  coap_message answer = MakeAnswer(kServiceUnavailableCode, kNotRunPayload);
  SetOption(&answer, option_number::kMaxAge, EncodeUint(max_age));
  return answer;
}

coap_message MakeRunUnknownAnswer() {
  return MakeAnswer(kGatewayTimeoutCode, kRunUnknownPayload);
}

coap_message MakeRefusal(uint8_t code) { return MakeAnswer(code, {}); }

coap_message MakeEmptyMessage(message_type type, uint16_t id) {
  coap_message message;
  message.type = type;
  message.id = id;
  return message;
}

uint64_t DigestOf(const coap_message& request) {
  coap_message digested;
  digested.code = request.code;
  digested.options = request.options;
  digested.payload = request.payload;
  RemoveOption(&digested, option_number::kEcho);
  const std::string bytes = SerializeCoap(digested);
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace cardamomroute
