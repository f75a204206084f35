#include "requests/refusal_writer.h"

#include <utility>

#include "caller/coap_message.h"
#include "view/view_change.h"

namespace cardamomroute {
namespace {

coap_message AnswerTo(const coap_message& request, uint8_t code) {
  coap_message answer;
  answer.type = request.type == message_type::kConfirmable
                    ? message_type::kAcknowledgement
                    : message_type::kNonConfirmable;
  answer.code = code;
  answer.id = request.id;
  answer.token = request.token;
  return answer;
}

}  // namespace

void refusal_writer::OnChange(const view_change& change) {
  if (change.from_version == 0) {
    calls_.clear();
  }
  for (const service_id id : change.removed_services) {
    calls_.erase(id);
  }
  for (const service& item : change.services) {
    OnService(item);
  }
}

void refusal_writer::OnService(const service& item) {
  call_matcher calls;
  calls.SetCalls(item.calls);
  calls_[item.id] = std::move(calls);
}

std::string refusal_writer::Write(service_id service, std::string_view datagram,
                                  uint32_t max_age_seconds) const {
  const auto request = ParseCoap(datagram);
  if (request.has_error() || !IsRequest(request.value())) {
    return "";
  }
  const uint8_t code = MayHaveRun(service, request.value())
                           ? kGatewayTimeoutCode
                           : kServiceUnavailableCode;
  coap_message answer = AnswerTo(request.value(), code);
  AddOption(&answer, option_number::kMaxAge, EncodeUint(max_age_seconds));
  return SerializeCoap(answer);
}

// A request that matches no call kind of the current text may have run under an
// earlier text.
bool refusal_writer::MayHaveRun(service_id service,
                                const coap_message& request) const {
  const auto calls = calls_.find(service);
  if (calls == calls_.end() ||
      FindOption(request, option_number::kEcho) != nullptr) {
    return true;
  }
  const call_match match = calls->second.Match(request);
  return match.verdict != match_verdict::kMatched ||
         calls->second.At(match.index).idempotent;
}

}  // namespace cardamomroute
