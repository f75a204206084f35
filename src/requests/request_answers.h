#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_

#include <cstdint>
#include <string_view>

#include "caller/coap_message.h"

namespace cardamomroute {

/// Payload of the 5.04 answer that says that a request may have run.
constexpr std::string_view kRunUnknownPayload = "run-unknown";
/// Payload of the 5.03 answer that says that a request was not run.
constexpr std::string_view kNotRunPayload = "not-run";

/// 5.03: not run; ask again in `max_age` seconds.
coap_message MakeNotRun(uint32_t max_age);
/// 5.04: may have run, and will not be run again under its Echo value.
coap_message MakeUnknown();
/// A refusal with this code.
coap_message MakeRefusal(uint8_t code);
/// An empty message of this type: an acknowledgement, a reset or a ping.
coap_message MakeEmptyMessage(message_type type, uint16_t id);
/// A hash of what a request asks for: method, options and payload. Repeats
/// agree in it, whatever their token, message id and Echo value.
uint64_t DigestOf(const coap_message& request);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_
