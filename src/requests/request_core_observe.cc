#include <algorithm>
#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kSequenceMask = (1U << 24) - 1;
// A caller that acknowledged nothing for this long gets the next notification
// as a confirmable message.
constexpr absl::Duration kConfirmInterval = absl::Seconds(60);
constexpr int kMostRegistrationFailures = 5;
constexpr absl::Duration kRegistrationBackoff = absl::Seconds(1);

bool KeepsObserving(const coap_message& message) {
  return IsSuccess(message) &&
         FindOption(message, option_number::kObserve) != nullptr;
}

}  // namespace

uint32_t request_core::StartObservation(const caller_request& request,
                                        const upstream_exchange& exchange,
                                        const coap_message& response,
                                        absl::Time now) {
  uint32_t sequence = 0;
  const observation* replaced =
      observations_.FindByCaller(request.flow, request.message.token);
  if (replaced != nullptr) {
    sequence = replaced->sequence;
    EndObservation(replaced->id, decision_reason::kNone);
  }
  observation added;
  added.id = next_id_++;
  added.flow = request.flow;
  added.token = request.message.token;
  added.request = request.message;
  added.kind = request.kind;
  added.sequence = (sequence + 1) & kSequenceMask;
  added.acknowledged_at = now;
  observation* value = observations_.Add(added);
  observations_.Bind(value, exchange.leg, exchange.token);
  value->upstream_sequence = FindUint(response, option_number::kObserve);
  value->upstream_notification_at = now;
  flow_state* state = &flows_[request.flow];
  ++state->observations;
  CountObserving(state);
  Log(request, decision_kind::kObservationStarted);
  ScheduleRefresh(*value, response, now);
  return value->sequence;
}

void request_core::HandleNotification(observation* value,
                                      const coap_message& message,
                                      absl::Time now) {
  const std::optional<uint32_t> sequence =
      FindUint(message, option_number::kObserve);
  const bool outdated =
      sequence && value->upstream_sequence &&
      !IsNewerNotification(*value->upstream_sequence,
                           value->upstream_notification_at, *sequence, now);
  if (outdated) {
    return;
  }
  value->upstream_sequence = sequence;
  value->upstream_notification_at = now;
  const uint64_t id = value->id;
  Notify(value, message, now);
  if (!KeepsObserving(message)) {
    EndObservation(id, decision_reason::kUpstreamReset);
  } else {
    ScheduleRefresh(*value, message, now);
  }
}

void request_core::Notify(observation* value, const coap_message& message,
                          absl::Time now) {
  const auto flow = flows_.find(value->flow);
  if (flow == flows_.end()) {
    return;
  }
  coap_message notification = message;
  RemoveOption(&notification, option_number::kEcho);
  if (KeepsObserving(message)) {
    value->sequence = (value->sequence + 1) & kSequenceMask;
    SetOption(&notification, option_number::kObserve,
              EncodeUint(value->sequence));
  }
  notification.token = value->token;
  notification.id = flow->second.next_message_id++;
  const bool confirm = message.type == message_type::kConfirmable ||
                       value->unacknowledged_notification != 0 ||
                       !KeepsObserving(message) ||
                       now >= value->acknowledged_at + kConfirmInterval;
  if (confirm) {
    notification.type = message_type::kConfirmable;
    SendConfirmable(value->flow, notification, value->id, now);
    return;
  }
  notification.type = message_type::kNonConfirmable;
  value->last_message_id = notification.id;
  Emit(send_to_caller{value->flow, SerializeCoap(notification)});
}

void request_core::EndObservation(uint64_t id, decision_reason reason) {
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  // A notification that is under way goes on; it belongs to nobody else.
  const auto flow = flows_.find(value->flow);
  if (flow != flows_.end()) {
    --flow->second.observations;
    CountObserving(&flow->second);
  }
  timers_.Cancel({timer_kind::kObservationRefresh, id});
  if (reason != decision_reason::kNone) {
    Emit(request_decision{value->flow, matcher_.At(value->kind).name, 0,
                          decision_kind::kObservationEnded, reason});
  }
  observations_.Erase(id);
}

void request_core::CountObserving(flow_state* state) {
  const bool only_observes = state->observations > 0 && !state->has_called;
  if (only_observes != state->only_observes) {
    state->only_observes = only_observes;
    only_observes ? ++observing_flows_ : --observing_flows_;
  }
}

void request_core::FailObservation(uint64_t id, decision_reason reason,
                                   absl::Time now) {
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  caller_request registration;
  registration.flow = value->flow;
  registration.kind = value->kind;
  Notify(value, NotRunAnswer(registration, now), now);
  EndObservation(id, reason);
}

void request_core::RegisterAgain(observation* value, absl::Time now) {
  if (value->registration_request != 0) {
    return;
  }
  caller_request request;
  request.id = next_id_++;
  request.flow = value->flow;
  request.message = value->request;
  request.kind = value->kind;
  request.deadline = absl::InfiniteFuture();
  request.registers = value->id;
  value->registration_request = request.id;
  Enqueue(AddRequest(std::move(request)), now);
}

void request_core::FinishRegistration(uint64_t request_id,
                                      const upstream_exchange& exchange,
                                      const coap_message& response,
                                      absl::Time now) {
  const uint64_t id = FindRequest(request_id)->registers;
  Finish(request_id, response, decision_kind::kAnswered, decision_reason::kNone,
         now);
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  if (response.code == kServiceUnavailableCode) {
    RegistrationFailed(id, now);
    return;
  }
  value->registration_request = 0;
  value->failed_registrations = 0;
  if (KeepsObserving(response)) {
    observations_.Bind(value, exchange.leg, exchange.token);
  }
  HandleNotification(value, response, now);
}

void request_core::RegistrationFailed(uint64_t id, absl::Time now) {
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  value->registration_request = 0;
  if (++value->failed_registrations > kMostRegistrationFailures) {
    FailObservation(id, decision_reason::kUpstreamShed, now);
    return;
  }
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  const double doublings = 1 << (value->failed_registrations - 1);
  timers_.Set({timer_kind::kObservationRefresh, id},
              now + kRegistrationBackoff * doublings * jitter(random_));
}

void request_core::ScheduleRefresh(const observation& value,
                                   const coap_message& message,
                                   absl::Time now) {
  // RFC 7641, section 3.3.1: register again some 5 to 15 s after Max-Age.
  std::uniform_real_distribution<double> extra(5.0, 15.0);
  const std::optional<uint32_t> max_age =
      FindUint(message, option_number::kMaxAge);
  const absl::Duration fresh =
      max_age ? absl::Seconds(*max_age) : kDefaultMaxAge;
  timers_.Set({timer_kind::kObservationRefresh, value.id},
              now + fresh + absl::Seconds(extra(random_)));
}

void request_core::OnObservationRefresh(uint64_t id, absl::Time now) {
  observation* value = observations_.Find(id);
  if (value != nullptr) {
    RegisterAgain(value, now);
  }
}

}  // namespace cardamomroute
