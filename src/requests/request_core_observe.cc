#include <algorithm>
#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kSequenceMask = (1U << 24) - 1;
// If the caller has not acknowledged a notification for this long, the next
// one is confirmable.
constexpr absl::Duration kConfirmInterval = absl::Seconds(60);
constexpr int kMaxRegistrationFailures = 5;
constexpr absl::Duration kRegistrationBackoff = absl::Seconds(1);

// True if the upstream keeps the observation after this message.
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
  UpdateObservingCount(state);
  LogDecision(request, decision_kind::kObservationStarted);
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
  const bool needs_acknowledgement =
      message.type == message_type::kConfirmable ||
      value->unacknowledged_notification != 0 || !KeepsObserving(message) ||
      now >= value->acknowledged_at + kConfirmInterval;
  if (needs_acknowledgement) {
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
  // A notification in flight is still retransmitted; it no longer belongs to an
  // observation.
  const auto flow = flows_.find(value->flow);
  if (flow != flows_.end()) {
    --flow->second.observations;
    UpdateObservingCount(&flow->second);
  }
  timers_.Cancel({timer_kind::kObservationRefresh, id});
  if (reason != decision_reason::kNone) {
    Emit(request_decision{value->flow, matcher_.At(value->kind).name, 0,
                          decision_kind::kObservationEnded, reason});
  }
  observations_.Erase(id);
}

void request_core::UpdateObservingCount(flow_state* state) {
  const bool is_observe_only =
      state->observations > 0 && !state->has_other_requests;
  if (is_observe_only != state->is_observe_only) {
    state->is_observe_only = is_observe_only;
    is_observe_only ? ++observing_flows_ : --observing_flows_;
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
  Notify(value, BuildNotRunAnswer(registration, now), now);
  EndObservation(id, reason);
}

void request_core::RenewRegistration(observation* value, absl::Time now) {
  if (value->registration_request != 0) {
    return;
  }
  caller_request request;
  request.id = next_id_++;
  request.flow = value->flow;
  request.message = value->request;
  request.kind = value->kind;
  request.deadline = absl::InfiniteFuture();
  request.renewed_observation = value->id;
  value->registration_request = request.id;
  Enqueue(AddRequest(std::move(request)), now);
}

void request_core::FinishRegistration(uint64_t request_id,
                                      const upstream_exchange& exchange,
                                      const coap_message& response,
                                      absl::Time now) {
  const uint64_t id = FindRequest(request_id)->renewed_observation;
  Finish(request_id, response, decision_kind::kAnswered, decision_reason::kNone,
         now);
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  if (response.code == kServiceUnavailableCode) {
    OnRegistrationFailed(id, now);
    return;
  }
  value->registration_request = 0;
  value->failed_registrations = 0;
  if (KeepsObserving(response)) {
    observations_.Bind(value, exchange.leg, exchange.token);
  }
  HandleNotification(value, response, now);
}

void request_core::OnRegistrationFailed(uint64_t id, absl::Time now) {
  observation* value = observations_.Find(id);
  if (value == nullptr) {
    return;
  }
  value->registration_request = 0;
  if (++value->failed_registrations > kMaxRegistrationFailures) {
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
  // Renews the registration 5 to 15 s after Max-Age has expired (RFC 7641,
  // section 3.3.1).
  std::uniform_real_distribution<double> delay_seconds(5.0, 15.0);
  const std::optional<uint32_t> max_age =
      FindUint(message, option_number::kMaxAge);
  const absl::Duration freshness =
      max_age ? absl::Seconds(*max_age) : kDefaultMaxAge;
  timers_.Set({timer_kind::kObservationRefresh, value.id},
              now + freshness + absl::Seconds(delay_seconds(random_)));
}

void request_core::OnObservationRefresh(uint64_t id, absl::Time now) {
  observation* value = observations_.Find(id);
  if (value != nullptr) {
    RenewRegistration(value, now);
  }
}

}  // namespace cardamomroute
