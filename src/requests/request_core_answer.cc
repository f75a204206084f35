#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

// Upper limit of the Max-Age of not-run answers, in timeouts of the call kind.
// A caller told to wait much longer than its timeout would not retry.
constexpr int kMaxAgeTimeouts = 2;

}  // namespace

void request_core::Refuse(const caller_request& request, uint8_t code,
                          decision_reason reason, absl::Time now) {
  LogDecision(request, decision_kind::kRefused, reason);
  SendAnswer(request, MakeRefusal(code), now);
}

coap_message request_core::BuildNotRunAnswer(const caller_request& request,
                                             absl::Time now) {
  const absl::Duration backlog =
      draining_ ? absl::ZeroDuration() : EstimateBacklog(queue_.All(), now);
  const absl::Duration run =
      draining_ ? absl::ZeroDuration()
                : running_time_.Mean(request.kind) / slots_.Limit();
  const absl::Duration max_age_limit =
      kMaxAgeTimeouts * absl::Milliseconds(KindOf(request).timeout_ms);
  return MakeNotRunAnswer(
      returns_.NextMaxAge(now + backlog, run, max_age_limit, now));
}

bool request_core::MayHaveRunElsewhere(const caller_request& request,
                                       absl::Time now) const {
  // Only the target that issued an Echo value runs a request with it.
  if (!request.echo.empty()) {
    return false;
  }
  if (now >= lease_valid_until_) {
    return true;
  }
  const auto it = flows_.find(request.flow);
  return it != flows_.end() && it->second.previous_holders.empty() &&
         now < target_lost_at_ + kMaxTransmitSpan &&
         it->second.held_since >= target_lost_at_;
}

coap_message request_core::BuildFailureAnswer(const caller_request& request,
                                              absl::Time now) {
  coap_message answer = BuildNotRunAnswer(request, now);
  if (request.may_have_run || MayHaveRunElsewhere(request, now)) {
    answer.code = kGatewayTimeoutCode;
    answer.payload = std::string(kRunUnknownPayload);
  }
  return answer;
}

void request_core::AnswerNotRun(const caller_request& request,
                                decision_reason reason, absl::Time now) {
  const coap_message answer = BuildFailureAnswer(request, now);
  LogDecision(request,
              answer.code == kServiceUnavailableCode ? decision_kind::kNotRun
                                                     : decision_kind::kUnknown,
              reason);
  if (!request.echo.empty()) {
    RecordRunAnswer(request.echo, answer, now);
  }
  SendAnswer(request, answer, now);
}

void request_core::FinishNotRun(uint64_t id, decision_reason reason,
                                absl::Time now) {
  const caller_request* request = FindRequest(id);
  if (request == nullptr) {
    return;
  }
  const uint64_t transfer = request->transfer;
  const uint64_t renewed_observation = request->renewed_observation;
  const coap_message answer = BuildFailureAnswer(*request, now);
  Finish(id, answer,
         answer.code == kServiceUnavailableCode ? decision_kind::kNotRun
                                                : decision_kind::kUnknown,
         reason, now);
  if (transfer != 0) {
    EndTransfer(transfer, answer, now);
  }
  if (renewed_observation != 0) {
    OnRegistrationFailed(renewed_observation, now);
  }
}

void request_core::FinishRunUnknown(uint64_t id, decision_reason reason,
                                    absl::Time now) {
  caller_request* request = FindRequest(id);
  if (request == nullptr) {
    return;
  }
  const uint64_t transfer = request->transfer;
  const uint64_t renewed_observation = request->renewed_observation;
  upstream_exchange* exchange = exchanges_.Find(request->exchange);
  if (request->state == request_state::kRunning && exchange != nullptr) {
    exchange->holds_slot = request->holds_slot;
    request->holds_slot = false;
    AbandonExchange(exchange->id, now);
  }
  Finish(id, MakeRunUnknownAnswer(), decision_kind::kUnknown, reason, now);
  if (transfer != 0) {
    EndTransfer(transfer, MakeRunUnknownAnswer(), now);
  }
  if (renewed_observation != 0) {
    OnRegistrationFailed(renewed_observation, now);
  }
}

void request_core::Finish(uint64_t id, const coap_message& answer,
                          decision_kind decision, decision_reason reason,
                          absl::Time now) {
  const auto it = requests_.find(id);
  if (it == requests_.end()) {
    return;
  }
  caller_request request = std::move(it->second);
  requests_.erase(it);
  running_requests_.erase(id);
  queue_.Erase(id);
  for (const timer_kind kind :
       {timer_kind::kAcknowledge, timer_kind::kQueueTimeout,
        timer_kind::kRunDeadline, timer_kind::kRetry}) {
    timers_.Cancel({kind, id});
  }
  ReleaseSlot(&request.holds_slot);
  LogDecision(request, decision, reason);
  if (request.renewed_observation != 0) {
    return;
  }
  if (!request.echo.empty()) {
    RecordRunAnswer(request.echo, answer, now);
  }
  SendAnswer(request, answer, now);
  DecrementInFlight(request.flow);
}

void request_core::SendAnswer(const caller_request& request,
                              coap_message answer, absl::Time now) {
  const auto it = flows_.find(request.flow);
  if (it == flows_.end()) {
    return;
  }
  flow_state& state = it->second;
  const bool needs_echo =
      request.kind < matcher_.size() && !KindOf(request).idempotent;
  if (needs_echo) {
    SetOption(&answer, option_number::kEcho, echo_.Issue(request.flow, now));
  }
  answer.token = request.message.token;
  const bool confirmable = request.message.type == message_type::kConfirmable;
  if (confirmable && !request.acknowledged) {
    answer.type = message_type::kAcknowledgement;
    answer.id = request.message.id;
  } else {
    answer.type = confirmable ? message_type::kConfirmable
                              : message_type::kNonConfirmable;
    answer.id = state.next_message_id++;
  }
  std::string datagram = SerializeCoap(answer);
  state.seen.SetAnswer(request.message.id, datagram, true);
  if (answer.type == message_type::kConfirmable) {
    SendConfirmable(request.flow, answer, 0, now);
  } else {
    Emit(send_to_caller{request.flow, std::move(datagram)});
  }
}

void request_core::SendConfirmable(const flow_key& flow,
                                   const coap_message& message,
                                   uint64_t observation, absl::Time now) {
  confirmable_message entry;
  entry.flow = flow;
  entry.message_id = message.id;
  entry.datagram = SerializeCoap(message);
  entry.observation = observation;
  struct observation* value = observations_.Find(observation);
  if (value != nullptr) {
    // The new notification replaces the unacknowledged one and inherits its
    // transmission count (RFC 7641, section 4.5.2).
    const auto replaced =
        confirmables_.Remove(value->unacknowledged_notification);
    if (replaced) {
      timers_.Cancel({timer_kind::kCallerRetransmit, replaced->id});
      entry.transmissions = replaced->transmissions;
    }
  }
  const confirmable_message& added = confirmables_.Add(std::move(entry), now);
  if (value != nullptr) {
    value->unacknowledged_notification = added.id;
  }
  timers_.Set({timer_kind::kCallerRetransmit, added.id}, added.retransmit_at);
  Emit(send_to_caller{flow, added.datagram});
}

void request_core::DecrementInFlight(const flow_key& flow) {
  const auto it = flows_.find(flow);
  if (it == flows_.end()) {
    return;
  }
  --it->second.in_flight;
  AnnounceIfIdle(flow, &it->second);
}

void request_core::AnnounceIfIdle(const flow_key& flow, flow_state* state) {
  const bool held = state->held_since < absl::InfiniteFuture();
  if (draining_ && held && state->in_flight == 0 && !state->is_idle_announced &&
      !open_run_counts_.contains(state->hash)) {
    state->is_idle_announced = true;
    Emit(flow_idle{flow});
  }
}

void request_core::OnAcknowledgeDue(uint64_t id, absl::Time /*now*/) {
  caller_request* request = FindRequest(id);
  if (request == nullptr || request->acknowledged ||
      request->message.type != message_type::kConfirmable) {
    return;
  }
  request->acknowledged = true;
  std::string datagram = SerializeCoap(
      MakeEmptyMessage(message_type::kAcknowledgement, request->message.id));
  flows_[request->flow].seen.SetAnswer(request->message.id, datagram, false);
  Emit(send_to_caller{request->flow, std::move(datagram)});
}

void request_core::OnCallerRetransmit(uint64_t id, absl::Time now) {
  const confirmable_message* message =
      confirmables_.OnRetransmitTimeout(id, now);
  if (message != nullptr) {
    timers_.Set({timer_kind::kCallerRetransmit, id}, message->retransmit_at);
    Emit(send_to_caller{message->flow, message->datagram});
    return;
  }
  const auto unacknowledged = confirmables_.Remove(id);
  if (unacknowledged && unacknowledged->observation != 0) {
    EndObservation(unacknowledged->observation, decision_reason::kCallerGone);
  }
}

}  // namespace cardamomroute
