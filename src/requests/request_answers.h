#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_

#include <cstdint>
#include <string_view>

#include "caller/coap_message.h"

namespace cardamomroute {

/// Payload of the 5.04 answer to a request that may have run.
constexpr std::string_view kRunUnknownPayload = "run-unknown";
/// Payload of the 5.03 answer to a request that was not run.
constexpr std::string_view kNotRunPayload = "not-run";

/// Returns a 5.03 answer: the request was not run, and the caller may retry
/// after `max_age` seconds.
coap_message MakeNotRunAnswer(uint32_t max_age);
/// Returns a 5.04 answer: the request may have run, and will not run again
/// under the same Echo value.
coap_message MakeRunUnknownAnswer();
/// Returns an error answer with this code and no payload.
coap_message MakeRefusal(uint8_t code);
/// Returns an Empty message: an acknowledgement, a reset or, if `type` is
/// kConfirmable, a ping.
coap_message MakeEmptyMessage(message_type type, uint16_t id);
/// Returns a hash of a request's method, options except Echo, and payload.
/// Repeats of a request have the same digest even if token, message id or Echo
/// value differ.
uint64_t DigestOf(const coap_message& request);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_ANSWERS_H_
