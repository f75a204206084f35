#include "requests/request_core.h"

#include <algorithm>
#include <array>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"

namespace cardamomroute {
namespace {

// Queued requests may still start for this long after a drain begins.
constexpr absl::Duration kDrainGrace = absl::Seconds(3);
// A flow without observations is closed after this long without a message.
constexpr absl::Duration kFlowIdleTime = absl::Hours(1);
// Time limit for the upstream to answer a renewed observation registration.
constexpr absl::Duration kRegistrationTimeout = absl::Seconds(10);

// Stream numbers, to derive independent random generators from one seed.
constexpr uint64_t kReturnStream = 1;
constexpr uint64_t kLegStream = 2;
constexpr uint64_t kConfirmableStream = 3;

uint64_t StreamSeed(uint64_t seed, uint64_t stream) {
  return seed * 0x9e3779b97f4a7c15ULL + stream;
}

}  // namespace

request_core::request_core(request_core_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      queue_(settings_.queue_capacity),
      slots_(settings_.slots),
      returns_(StreamSeed(settings_.seed, kReturnStream)),
      echo_(settings_.incarnation, settings_.echo_key),
      runs_(settings_.dedup_capacity),
      legs_(settings_.legs, StreamSeed(settings_.seed, kLegStream)),
      confirmables_(StreamSeed(settings_.seed, kConfirmableStream)) {
  running_time_.EnsureKinds(matcher_.size());
}

request_core::timer_handler request_core::HandlerOf(timer_kind kind) {
  static constexpr std::array<timer_handler, 13> kHandlers = {
      &request_core::OnAcknowledgeDue,     &request_core::OnQueueTimeout,
      &request_core::OnRunDeadline,        &request_core::OnRetryDue,
      &request_core::OnSlotRelease,        &request_core::OnCallerRetransmit,
      &request_core::OnUpstreamRetransmit, &request_core::OnLegCheck,
      &request_core::OnTransferIdle,       &request_core::OnTransferExpired,
      &request_core::OnObservationRefresh, &request_core::OnSweep,
      &request_core::OnDrainGrace,
  };
  static_assert(kHandlers.size() ==
                static_cast<size_t>(timer_kind::kDrainGrace) + 1);
  return kHandlers[static_cast<size_t>(kind)];
}

request_actions request_core::TakeActions() {
  request_actions actions;
  actions.swap(actions_);
  return actions;
}

void request_core::LogDecision(const caller_request& request,
                               decision_kind decision, decision_reason reason) {
  const std::string call =
      request.kind < matcher_.size() ? KindOf(request).name : std::string();
  Emit(request_decision{request.flow, call, request.id, decision, reason});
}

void request_core::OnServiceCalls(std::vector<call_kind> calls) {
  matcher_.SetCalls(std::move(calls));
  running_time_.EnsureKinds(matcher_.size());
}

void request_core::OnLiveTargets(absl::flat_hash_set<target_id> targets) {
  live_targets_ = std::move(targets);
}

request_actions request_core::OnTick(absl::Time now) {
  while (const std::optional<timer_key> due = timers_.PopDue(now)) {
    (this->*HandlerOf(due->kind))(due->id, now);
  }
  StartQueuedRequests(now);
  return TakeActions();
}

request_load request_core::Load() const {
  return {slots_.Slots(), slots_.Limit(), slots_.Used(),
          static_cast<uint32_t>(queue_.size()), observing_flows_};
}

caller_request* request_core::FindRequest(uint64_t id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

caller_request* request_core::AddRequest(caller_request request) {
  const uint64_t id = request.id;
  caller_request* added =
      &requests_.insert_or_assign(id, std::move(request)).first->second;
  if (added->renewed_observation == 0) {
    flow_state& state = flows_[added->flow];
    ++state.in_flight;
    state.is_idle_announced = false;
    timers_.Set({timer_kind::kRunDeadline, id}, added->deadline);
  }
  return added;
}

absl::Duration request_core::EstimateBacklog(
    const std::vector<queued_request>& ahead, absl::Time now) const {
  absl::Duration work;
  for (const queued_request& request : ahead) {
    work += running_time_.Mean(request.kind);
  }
  for (const uint64_t id : running_requests_) {
    const caller_request& request = requests_.at(id);
    const absl::Time end =
        request.started_at + running_time_.Mean(request.kind);
    work += std::max(end - now, absl::ZeroDuration());
  }
  return work / slots_.Limit();
}

absl::Time request_core::LatestStart(const caller_request& request) const {
  return request.deadline - running_time_.UpperEstimate(request.kind);
}

bool request_core::CanMeetDeadline(const caller_request& request,
                                   absl::Time now) const {
  // An idle core admits any request. Otherwise an overestimated running time
  // would reject all requests and never be corrected.
  if (slots_.Used() == 0 && queue_.empty()) {
    return true;
  }
  const bool starts_now = slots_.HasFree() && queue_.empty();
  const absl::Duration wait =
      starts_now ? absl::ZeroDuration()
                 : EstimateBacklog(queue_.RequestsAhead(KindOf(request).urgency,
                                                        request.deadline),
                                   now);
  return now + wait <= LatestStart(request);
}

void request_core::Admit(caller_request request, absl::Time now) {
  retry_budget_.OnRequest();
  if (draining_) {
    AnswerNotRun(request, decision_reason::kDraining, now);
    return;
  }
  if (!CanMeetDeadline(request, now)) {
    AnswerNotRun(request, decision_reason::kDeadlineUnmeetable, now);
    return;
  }
  if (queue_.IsFull()) {
    const std::optional<queued_request> displaced =
        queue_.PopLastAfter(KindOf(request).urgency, request.deadline);
    if (!displaced) {
      AnswerNotRun(request, decision_reason::kQueueFull, now);
      return;
    }
    FinishNotRun(displaced->id, decision_reason::kDisplaced, now);
  }
  caller_request* added = AddRequest(std::move(request));
  timers_.Set({timer_kind::kAcknowledge, added->id}, now + kAcknowledgeDelay);
  Enqueue(added, now);
}

void request_core::Enqueue(caller_request* request, absl::Time now) {
  request->state = request_state::kQueued;
  queued_request entry;
  entry.id = request->id;
  entry.kind = request->kind;
  entry.urgency = request->renewed_observation == 0 ? KindOf(*request).urgency
                                                    : call_class::kOrdinary;
  entry.deadline = request->deadline;
  entry.resumed = request->resumed;
  entry.unbounded = request->renewed_observation != 0;
  queue_.Push(entry);
  if (!request->resumed && request->renewed_observation == 0) {
    LogDecision(*request, decision_kind::kQueued);
    timers_.Set({timer_kind::kQueueTimeout, request->id},
                std::max(LatestStart(*request), now));
  }
}

void request_core::StartQueuedRequests(absl::Time now) {
  while (!queue_.empty() && (slots_.HasFree() || ReclaimIdleSlot())) {
    const std::optional<queued_request> next = queue_.PopNext();
    caller_request* request = FindRequest(next->id);
    const bool too_late = !request->resumed &&
                          request->renewed_observation == 0 &&
                          slots_.Used() > 0 && now > LatestStart(*request);
    if (too_late) {
      FinishNotRun(request->id, decision_reason::kDeadlineUnmeetable, now);
    } else {
      Start(request, now);
    }
  }
}

void request_core::Start(caller_request* request, absl::Time now) {
  if (!request->holds_slot) {
    slots_.Take();
    request->holds_slot = true;
  }
  request->state = request_state::kRunning;
  request->started_at = now;
  running_requests_.insert(request->id);
  timers_.Cancel({timer_kind::kQueueTimeout, request->id});
  if (request->renewed_observation != 0) {
    timers_.Set({timer_kind::kRunDeadline, request->id},
                now + kRegistrationTimeout);
  }
  LogDecision(*request, decision_kind::kStarted);
  SendToUpstream(request, now);
}

void request_core::ReleaseSlot(bool* holds_slot) {
  if (*holds_slot) {
    slots_.Release();
    *holds_slot = false;
  }
}

void request_core::OnQueueTimeout(uint64_t id, absl::Time now) {
  const caller_request* request = FindRequest(id);
  if (request == nullptr || request->state != request_state::kQueued) {
    return;
  }
  if (slots_.Used() > 0) {
    FinishNotRun(id, decision_reason::kDeadlineUnmeetable, now);
  }
}

void request_core::OnRunDeadline(uint64_t id, absl::Time now) {
  const caller_request* request = FindRequest(id);
  if (request == nullptr) {
    return;
  }
  const bool may_have_run = request->state == request_state::kRunning ||
                            request->state == request_state::kAttached;
  if (may_have_run) {
    FinishRunUnknown(id, decision_reason::kDeadlinePassed, now);
  } else {
    FinishNotRun(id, decision_reason::kDeadlinePassed, now);
  }
}

void request_core::OnRetryDue(uint64_t id, absl::Time now) {
  caller_request* request = FindRequest(id);
  if (request != nullptr) {
    request->resumed = true;
    Enqueue(request, now);
  }
}

void request_core::OnSweep(uint64_t /*id*/, absl::Time now) {
  runs_.Expire(now);
  std::vector<flow_key> unused;
  for (const auto& [flow, state] : flows_) {
    if (state.in_flight == 0 && state.observations == 0 &&
        state.last_used_at + kFlowIdleTime <= now) {
      unused.push_back(flow);
    }
  }
  std::sort(unused.begin(), unused.end());
  for (const flow_key& flow : unused) {
    RemoveFlow(flow);
    Emit(flow_closed{flow});
  }
  ExpireCredentials(now);
  if (!flows_.empty() || runs_.size() > 0 || !imported_credentials_.empty()) {
    timers_.Set({timer_kind::kSweep, 0}, now + kSweepInterval);
  }
}

void request_core::RejectWaitingRequests(decision_reason reason,
                                         absl::Time now) {
  std::vector<uint64_t> waiting;
  for (const auto& [id, request] : requests_) {
    const bool is_waiting = request.state == request_state::kQueued ||
                            request.state == request_state::kWaitingToRetry;
    if (is_waiting && request.transfer == 0) {
      waiting.push_back(id);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const uint64_t id : waiting) {
    FinishNotRun(id, reason, now);
  }
}

void request_core::OnDrainGrace(uint64_t /*id*/, absl::Time now) {
  RejectWaitingRequests(decision_reason::kDraining, now);
}

request_actions request_core::BeginDrain(absl::Time now) {
  if (draining_) {
    return {};
  }
  draining_ = true;
  timers_.Set({timer_kind::kDrainGrace, 0}, now + kDrainGrace);
  std::vector<flow_key> flows;
  for (const auto& [flow, state] : flows_) {
    flows.push_back(flow);
  }
  std::sort(flows.begin(), flows.end());
  for (const flow_key& flow : flows) {
    AnnounceIfIdle(flow, &flows_[flow]);
  }
  return TakeActions();
}

bool request_core::Drained() const {
  return draining_ &&
         std::all_of(flows_.begin(), flows_.end(), [](const auto& entry) {
           return entry.second.in_flight == 0;
         });
}

}  // namespace cardamomroute
