#include <algorithm>
#include <utility>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kObserveRegister = 0;
constexpr size_t kTokenLength = 8;
// A request that was answered before the upstream responded is assumed to keep
// running there, and keeps its slot, for kAbandonedHoldRuns times the mean
// running time of its call kind, but at least kMinAbandonedHold.
constexpr absl::Duration kMinAbandonedHold = absl::Seconds(1);
constexpr int kAbandonedHoldRuns = 4;
constexpr int kMaxAttempts = 3;
constexpr absl::Duration kRetryBackoff = absl::Milliseconds(50);

}  // namespace

size_t request_core::ChoosePlace(caller_request* request) {
  if (const block_transfer* transfer = transfers_.Find(request->transfer)) {
    return transfer->place;
  }
  const size_t home = legs_.PlaceOf(HashOf(request->flow));
  const auto block = FindBlock(request->message, option_number::kBlock1);
  if (!block || !block->more) {
    return home;
  }
  block_transfer transfer;
  transfer.id = next_id_++;
  transfer.flow = request->flow;
  transfer.key = TransferKey(request->message);
  transfer.is_upload = true;
  transfer.echo = request->echo;
  transfer.place = home;
  // The upstream identifies an upload by endpoint and key (RFC 7959, section
  // 2.5), so two uploads with the same key must use different legs.
  for (size_t i = 0; i < legs_.Places(); ++i) {
    const size_t place = (home + i) % legs_.Places();
    if (!transfers_.HasUpload(place, transfer.key)) {
      transfer.place = place;
      break;
    }
  }
  request->transfer = transfer.id;
  timers_.Set({timer_kind::kTransferExpiry, transfer.id},
              request->started_at + kExchangeLifetime);
  return transfers_.Add(transfer)->place;
}

leg_id request_core::EnsureLegOpen(size_t place, absl::Time now) {
  if (legs_.At(place) == 0) {
    Emit(open_leg{legs_.Open(place, now)});
  }
  return legs_.At(place);
}

std::string request_core::NextToken() {
  const uint64_t bits = random_();
  const uint64_t serial = next_id_++;
  std::string token;
  for (size_t i = 0; i < kTokenLength; ++i) {
    const uint64_t source = i < kTokenLength / 2 ? serial : bits;
    token.push_back(static_cast<char>((source >> (8 * (i % 4))) & 0xff));
  }
  return token;
}

void request_core::SetDeadlineOption(const caller_request& request,
                                     coap_message* message,
                                     absl::Time now) const {
  if (settings_.deadline_option == 0) {
    return;
  }
  const auto number = static_cast<option_number>(settings_.deadline_option);
  RemoveOption(message, number);
  if (request.deadline < absl::InfiniteFuture()) {
    const int64_t remaining_ms =
        absl::ToInt64Milliseconds(request.deadline - now);
    AddOption(message, number, EncodeUint(static_cast<uint32_t>(remaining_ms)));
  }
}

void request_core::SendToUpstream(caller_request* request, absl::Time now) {
  const size_t place = ChoosePlace(request);
  upstream_exchange exchange;
  exchange.id = next_id_++;
  exchange.leg = EnsureLegOpen(place, now);
  exchange.message_id = legs_.NextMessageId(place);
  const observation* registered =
      observations_.Find(request->renewed_observation);
  const bool same_leg =
      registered != nullptr && registered->leg == exchange.leg;
  exchange.token = same_leg ? registered->upstream_token : NextToken();
  exchange.request = request->id;
  exchange.kind = request->kind;
  exchange.echo = request->echo;
  exchange.started_at = now;
  exchange.sent_at = now;
  coap_message message = request->message;
  message.type = message_type::kConfirmable;
  message.id = exchange.message_id;
  message.token = exchange.token;
  RemoveOption(&message, option_number::kEcho);
  SetDeadlineOption(*request, &message, now);
  std::string datagram = SerializeCoap(message);
  if (KindOf(*request).idempotent) {
    exchange.datagram = datagram;
    std::uniform_real_distribution<double> factor(1.0, kAckRandomFactor);
    timers_.Set({timer_kind::kUpstreamRetransmit, exchange.id},
                now + kAckTimeout * factor(random_));
  }
  request->exchange = exchange.id;
  ++request->attempts;
  legs_.OnSent(place, now);
  Emit(send_to_upstream{exchange.leg, std::move(datagram)});
  exchanges_.Add(exchange);
  ScheduleLegCheck(place, now);
}

request_actions request_core::OnUpstreamMessage(leg_id leg,
                                                std::string_view datagram,
                                                absl::Time now) {
  const std::optional<size_t> place = legs_.PlaceOfLeg(leg);
  const auto message = ParseCoap(datagram);
  if (!place || !message) {
    return {};
  }
  legs_.OnHeard(*place, now);
  if (IsResponse(message.value())) {
    HandleResponse(leg, message.value(), now);
  } else {
    HandleNonResponse(leg, message.value(), now);
  }
  StartQueuedRequests(now);
  return TakeActions();
}

void request_core::HandleNonResponse(leg_id leg, const coap_message& message,
                                     absl::Time now) {
  if (message.type == message_type::kConfirmable) {
    ResetUpstream(leg, message);
    return;
  }
  upstream_exchange* exchange = exchanges_.FindByMessageId(leg, message.id);
  if (exchange == nullptr) {
    return;
  }
  if (message.type == message_type::kAcknowledgement) {
    exchange->acknowledged = true;
    timers_.Cancel({timer_kind::kUpstreamRetransmit, exchange->id});
    return;
  }
  if (message.type == message_type::kReset && exchange->request != 0) {
    const uint64_t id = exchange->id;
    const uint64_t request = exchange->request;
    const bool possibly_ran =
        exchange->acknowledged || exchange->transmissions > 1;
    timers_.Cancel({timer_kind::kUpstreamRetransmit, id});
    exchanges_.Erase(id);
    if (possibly_ran) {
      FinishRunUnknown(request, decision_reason::kUpstreamReset, now);
    } else {
      FinishNotRun(request, decision_reason::kUpstreamReset, now);
    }
  }
}

void request_core::AcknowledgeUpstream(leg_id leg,
                                       const coap_message& message) {
  if (message.type == message_type::kConfirmable) {
    Emit(send_to_upstream{
        leg, SerializeCoap(MakeEmptyMessage(message_type::kAcknowledgement,
                                            message.id))});
  }
}

void request_core::ResetUpstream(leg_id leg, const coap_message& message) {
  if (message.type != message_type::kAcknowledgement) {
    Emit(send_to_upstream{leg, SerializeCoap(MakeEmptyMessage(
                                   message_type::kReset, message.id))});
  }
}

void request_core::HandleResponse(leg_id leg, const coap_message& message,
                                  absl::Time now) {
  const upstream_exchange* exchange =
      exchanges_.FindByToken(leg, message.token);
  const bool piggybacked = message.type == message_type::kAcknowledgement;
  if (exchange != nullptr &&
      (!piggybacked || exchange->message_id == message.id)) {
    AcknowledgeUpstream(leg, message);
    const upstream_exchange completed = *exchange;
    timers_.Cancel({timer_kind::kUpstreamRetransmit, completed.id});
    timers_.Cancel({timer_kind::kSlotRelease, completed.id});
    exchanges_.Erase(completed.id);
    CompleteExchange(completed, message, now);
    return;
  }
  observation* value = observations_.FindByUpstream(leg, message.token);
  if (value != nullptr && !piggybacked) {
    AcknowledgeUpstream(leg, message);
    HandleNotification(value, message, now);
    return;
  }
  ResetUpstream(leg, message);
}

void request_core::HandleLateResponse(const upstream_exchange& exchange,
                                      const coap_message& response,
                                      absl::Time now) {
  bool holds_slot = exchange.holds_slot;
  ReleaseSlot(&holds_slot);
  if (!exchange.echo.empty()) {
    RecordRunAnswer(exchange.echo, response, now);
  }
}

void request_core::CompleteExchange(const upstream_exchange& exchange,
                                    const coap_message& response,
                                    absl::Time now) {
  caller_request* request = FindRequest(exchange.request);
  const bool shed = response.code == kServiceUnavailableCode;
  if (!shed && (request == nullptr || request->transfer == 0)) {
    running_time_.Add(exchange.kind, now - exchange.started_at);
  }
  if (request == nullptr) {
    HandleLateResponse(exchange, response, now);
    return;
  }
  if (shed) {
    slots_.OnShed();
    if (RetryAfterShed(request, now)) {
      return;
    }
  } else {
    slots_.OnAnswer();
  }
  if (request->renewed_observation != 0) {
    FinishRegistration(request->id, exchange, response, now);
    return;
  }
  coap_message relayed = response;
  RemoveOption(&relayed, option_number::kEcho);
  const bool starts_observation =
      IsSuccess(response) &&
      FindUint(request->message, option_number::kObserve) == kObserveRegister &&
      FindOption(response, option_number::kObserve) != nullptr;
  if (starts_observation) {
    const uint32_t sequence =
        StartObservation(*request, exchange, response, now);
    SetOption(&relayed, option_number::kObserve, EncodeUint(sequence));
  } else {
    RemoveOption(&relayed, option_number::kObserve);
  }
  ForwardResponse(request->id, relayed, now);
}

bool request_core::RetryAfterShed(caller_request* request, absl::Time now) {
  const double doublings = 1 << request->attempts;
  std::uniform_real_distribution<double> jitter(0.5, 1.5);
  const absl::Time retry_at = now + kRetryBackoff * doublings * jitter(random_);
  const bool in_time = retry_at <= LatestStart(*request);
  if (request->renewed_observation != 0 || request->attempts >= kMaxAttempts ||
      !in_time || !retry_budget_.TryConsume()) {
    return false;
  }
  LogDecision(*request, decision_kind::kRetried,
              decision_reason::kUpstreamShed);
  request->state = request_state::kWaitingToRetry;
  running_requests_.erase(request->id);
  ReleaseSlot(&request->holds_slot);
  timers_.Set({timer_kind::kRetry, request->id}, retry_at);
  return true;
}

void request_core::ForwardResponse(uint64_t id, const coap_message& response,
                                   absl::Time now) {
  caller_request* request = FindRequest(id);
  if (response.code == kServiceUnavailableCode) {
    // The upstream reports that it did not run the request. Max-Age is computed
    // from the backlog of this core, unless the upstream asks for a longer
    // time.
    coap_message answer = BuildFailureAnswer(*request, now);
    const uint32_t own_max_age = *FindUint(answer, option_number::kMaxAge);
    const uint32_t upstream_max_age =
        FindUint(response, option_number::kMaxAge).value_or(0);
    SetOption(&answer, option_number::kMaxAge,
              EncodeUint(std::max(own_max_age, upstream_max_age)));
    const uint64_t transfer = request->transfer;
    Finish(id, answer,
           answer.code == kServiceUnavailableCode ? decision_kind::kNotRun
                                                  : decision_kind::kUnknown,
           decision_reason::kUpstreamShed, now);
    EndTransfer(transfer, answer, now);
    return;
  }
  if (FailIfRepresentationChanged(*request, response, now)) {
    return;
  }
  UpdateTransfer(request, response, now);
  Finish(id, response, decision_kind::kAnswered, decision_reason::kNone, now);
}

void request_core::AbandonExchange(uint64_t id, absl::Time now) {
  upstream_exchange* exchange = exchanges_.Find(id);
  exchange->request = 0;
  timers_.Cancel({timer_kind::kUpstreamRetransmit, id});
  const absl::Duration hold =
      std::max(kMinAbandonedHold,
               kAbandonedHoldRuns * running_time_.Mean(exchange->kind));
  timers_.Set({timer_kind::kSlotRelease, id}, now + hold);
}

void request_core::OnSlotRelease(uint64_t id, absl::Time now) {
  upstream_exchange* exchange = exchanges_.Find(id);
  if (exchange == nullptr) {
    return;
  }
  ReleaseSlot(&exchange->holds_slot);
  const std::string echo = exchange->echo;
  exchanges_.Erase(id);
  const run_record* record = runs_.Find(echo);
  if (record != nullptr && !record->answered) {
    RecordRunAnswer(echo, MakeRunUnknownAnswer(), now);
  }
}

void request_core::OnUpstreamRetransmit(uint64_t id, absl::Time now) {
  upstream_exchange* exchange = exchanges_.Find(id);
  if (exchange == nullptr || exchange->acknowledged ||
      exchange->transmissions > kMaxRetransmit) {
    return;
  }
  const absl::Duration waited = now - exchange->sent_at;
  if (retry_budget_.TryConsume()) {
    ++exchange->transmissions;
    Emit(send_to_upstream{exchange->leg, exchange->datagram});
  }
  exchange->sent_at = now;
  timers_.Set({timer_kind::kUpstreamRetransmit, id}, now + 2 * waited);
}

absl::Duration request_core::SilenceTimeout(size_t place) const {
  const leg_id leg = legs_.At(place);
  if (exchanges_.CountOn(leg) > 0) {
    return leg_pool::kExchangeIdleTimeout;
  }
  return observations_.CountOn(leg) > 0 ? leg_pool::kObservationIdleTimeout
                                        : absl::InfiniteDuration();
}

void request_core::ScheduleLegCheck(size_t place, absl::Time now) {
  const absl::Duration quiet = SilenceTimeout(place);
  if (legs_.At(place) != 0 && quiet < absl::InfiniteDuration()) {
    timers_.SetEarlier({timer_kind::kLegCheck, place},
                       legs_.NextCheck(place, quiet, now));
  }
}

void request_core::SendProbe(size_t place, absl::Time now) {
  const leg_id leg = EnsureLegOpen(place, now);
  const coap_message ping =
      MakeEmptyMessage(message_type::kConfirmable, legs_.NextMessageId(place));
  Emit(send_to_upstream{leg, SerializeCoap(ping)});
}

void request_core::ProbeReferenceLeg(absl::Time now) {
  const size_t place = legs_.Reference();
  if (legs_.IsAnswerPending(place, now)) {
    return;
  }
  if (legs_.IsUnanswered(place)) {
    CloseLeg(place);
  }
  SendProbe(place, now);
  legs_.OnSent(place, now);
}

void request_core::OnLegCheck(uint64_t place, absl::Time now) {
  const absl::Duration quiet = SilenceTimeout(place);
  if (legs_.At(place) == 0 || quiet == absl::InfiniteDuration()) {
    return;
  }
  switch (legs_.Check(place, quiet, now)) {
    case leg_health::kAlive:
      break;
    case leg_health::kProbe:
      SendProbe(place, now);
      ProbeReferenceLeg(now);
      break;
    case leg_health::kLost:
      ReopenLeg(place, now);
      break;
  }
  ScheduleLegCheck(place, now);
}

void request_core::CloseLeg(size_t place) {
  Emit(close_leg{legs_.At(place)});
  legs_.Close(place);
  timers_.Cancel({timer_kind::kLegCheck, place});
}

void request_core::ReopenLeg(size_t place, absl::Time now) {
  const leg_id lost = legs_.At(place);
  Emit(request_decision{
      {}, {}, 0, decision_kind::kLegReopened, decision_reason::kLegLost});
  CloseLeg(place);
  EnsureLegOpen(place, now);
  for (const uint64_t id : exchanges_.IdsOn(lost)) {
    RetryAfterLegLoss(id, now);
  }
  for (const uint64_t id : observations_.IdsOn(lost)) {
    observation* value = observations_.Find(id);
    observations_.Bind(value, 0, {});
    RenewRegistration(value, now);
  }
}

void request_core::RetryAfterLegLoss(uint64_t exchange_id, absl::Time now) {
  const upstream_exchange* exchange = exchanges_.Find(exchange_id);
  caller_request* request = FindRequest(exchange->request);
  if (request == nullptr) {
    return;
  }
  const bool can_retry =
      KindOf(*request).idempotent && request->transfer == 0 &&
      now <= LatestStart(*request) && retry_budget_.TryConsume();
  if (!can_retry) {
    FinishRunUnknown(request->id, decision_reason::kLegLost, now);
    return;
  }
  timers_.Cancel({timer_kind::kUpstreamRetransmit, exchange_id});
  exchanges_.Erase(exchange_id);
  request->may_have_run = true;
  LogDecision(*request, decision_kind::kRetried, decision_reason::kLegLost);
  SendToUpstream(request, now);
}

request_actions request_core::OnUpstreamGone(absl::Time now) {
  RejectWaitingRequests(decision_reason::kUpstreamGone, now);
  for (const uint64_t id : exchanges_.IdsOn(0)) {
    FinishRunUnknown(exchanges_.Find(id)->request,
                     decision_reason::kUpstreamGone, now);
    timers_.Cancel({timer_kind::kSlotRelease, id});
    OnSlotRelease(id, now);
  }
  for (const uint64_t id : transfers_.AllIds()) {
    EndTransfer(id, MakeRunUnknownAnswer(), now);
  }
  for (const uint64_t id : observations_.AllIds()) {
    FailObservation(id, decision_reason::kUpstreamGone, now);
  }
  for (size_t place = 0; place <= legs_.Reference(); ++place) {
    if (legs_.At(place) != 0) {
      CloseLeg(place);
    }
  }
  return TakeActions();
}

}  // namespace cardamomroute
