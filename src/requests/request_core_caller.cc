#include <algorithm>
#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

constexpr size_t kNoKind = static_cast<size_t>(-1);
constexpr uint32_t kObserveDeregister = 1;

bool HasProxyOption(const coap_message& message) {
  return FindOption(message, option_number::kProxyUri) != nullptr ||
         FindOption(message, option_number::kProxyScheme) != nullptr;
}

}  // namespace

flow_state* request_core::FindOrAddFlow(const flow_key& flow, absl::Time now) {
  const auto [it, added] = flows_.try_emplace(flow);
  flow_state* state = &it->second;
  if (added) {
    state->hash = HashOf(flow);
    state->next_message_id = static_cast<uint16_t>(random_());
    timers_.SetEarlier({timer_kind::kSweep, 0}, now + kSweepInterval);
  }
  state->last_used_at = now;
  return state;
}

request_actions request_core::OnCallerMessage(const flow_key& flow,
                                              std::string_view datagram,
                                              absl::Time now) {
  HandleDatagram(flow, datagram, now);
  const auto it = flows_.find(flow);
  if (it != flows_.end()) {
    it->second.held_since = std::min(it->second.held_since, now);
  }
  StartQueuedRequests(now);
  return TakeActions();
}

request_actions request_core::OnForwardedMessage(const flow_key& flow,
                                                 std::string_view datagram,
                                                 absl::Time now) {
  HandleDatagram(flow, datagram, now);
  StartQueuedRequests(now);
  return TakeActions();
}

void request_core::HandleDatagram(const flow_key& flow,
                                  std::string_view datagram, absl::Time now) {
  auto message = ParseCoap(datagram);
  if (!message) {
    Emit(request_decision{
        flow, {}, 0, decision_kind::kRefused, decision_reason::kMalformed});
    return;
  }
  const bool known = flows_.contains(flow);
  if (IsRequest(message.value())) {
    FindOrAddFlow(flow, now);
    HandleRequest(flow, datagram, std::move(message).value(), now);
  } else if (known || message.value().type == message_type::kConfirmable) {
    HandleNonRequest(flow, message.value(), now);
  }
}

void request_core::HandleNonRequest(const flow_key& flow,
                                    const coap_message& message,
                                    absl::Time now) {
  if (message.type == message_type::kConfirmable) {
    Emit(send_to_caller{flow, SerializeCoap(MakeEmptyMessage(
                                  message_type::kReset, message.id))});
    return;
  }
  if (message.type == message_type::kNonConfirmable) {
    return;
  }
  const bool reset = message.type == message_type::kReset;
  const std::optional<confirmable_message> sent =
      confirmables_.OnReply(flow, message.id);
  if (sent) {
    timers_.Cancel({timer_kind::kCallerRetransmit, sent->id});
    observation* value = observations_.Find(sent->observation);
    if (value != nullptr && value->unacknowledged_notification == sent->id) {
      value->unacknowledged_notification = 0;
      value->acknowledged_at = now;
      if (reset) {
        EndObservation(value->id, decision_reason::kCallerGone);
      }
    }
    return;
  }
  if (!reset) {
    return;
  }
  for (const uint64_t id : observations_.IdsOf(flow)) {
    if (observations_.Find(id)->last_message_id == message.id) {
      EndObservation(id, decision_reason::kCallerGone);
    }
  }
}

bool request_core::AnswerDuplicate(const flow_key& flow,
                                   const coap_message& message,
                                   absl::Time now) {
  const seen_message* seen = flows_[flow].seen.Find(message.id, now);
  if (seen == nullptr) {
    return false;
  }
  if (!seen->answer.empty()) {
    Emit(send_to_caller{flow, seen->answer});
  }
  return true;
}

void request_core::HandleRequest(const flow_key& flow,
                                 std::string_view datagram,
                                 coap_message message, absl::Time now) {
  if (AnswerDuplicate(flow, message, now)) {
    return;
  }
  flows_[flow].seen.Add(message.id, {}, now + kExchangeLifetime, now);
  caller_request request;
  request.id = next_id_++;
  request.flow = flow;
  request.message = std::move(message);
  request.kind = kNoKind;
  Classify(std::move(request), datagram, now);
}

void request_core::Classify(caller_request request, std::string_view datagram,
                            absl::Time now) {
  if (HasProxyOption(request.message)) {
    Refuse(request, kBadOptionCode, decision_reason::kUnknownCallKind, now);
    return;
  }
  const call_match match = matcher_.Match(request.message);
  if (match.verdict != match_verdict::kMatched) {
    const bool path_known = match.verdict == match_verdict::kMethodUnknown;
    Refuse(request, path_known ? kMethodNotAllowedCode : kNotFoundCode,
           decision_reason::kUnknownCallKind, now);
    return;
  }
  request.kind = match.index;
  request.deadline = now + absl::Milliseconds(KindOf(request).timeout_ms);
  if (ContinueTransfer(&request, now)) {
    return;
  }
  if (FindUint(request.message, option_number::kObserve) ==
      kObserveDeregister) {
    const observation* value =
        observations_.FindByCaller(request.flow, request.message.token);
    if (value != nullptr) {
      EndObservation(value->id, decision_reason::kCallerGone);
    }
    RemoveOption(&request.message, option_number::kObserve);
  }
  if (FindOption(request.message, option_number::kObserve) == nullptr) {
    flow_state* state = &flows_[request.flow];
    state->has_other_requests = true;
    UpdateObservingCount(state);
  }
  if (KindOf(request).idempotent || CheckEcho(&request, datagram, now)) {
    Admit(std::move(request), now);
  }
}

}  // namespace cardamomroute
