#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_CORE_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_CORE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "caller/coap_message.h"
#include "requests/admission_queue.h"
#include "requests/call_matcher.h"
#include "requests/caller_request.h"
#include "requests/confirmable_sender.h"
#include "requests/dedup_table.h"
#include "requests/echo_credential.h"
#include "requests/echo_guard.h"
#include "requests/exchange_table.h"
#include "requests/flow_state.h"
#include "requests/leg_pool.h"
#include "requests/observation_table.h"
#include "requests/request_action.h"
#include "requests/retry_after_schedule.h"
#include "requests/retry_budget.h"
#include "requests/run_time_estimator.h"
#include "requests/slot_pool.h"
#include "requests/timer_queue.h"
#include "requests/transfer_table.h"
#include "view/view.h"

namespace cardamomroute {

namespace inner {
class flow_snapshot;
class observation_snapshot;
class run_snapshot;
class transfer_snapshot;
}  // namespace inner

/// Configuration of a request_core; fixed for its lifetime.
struct request_core_settings {
  /// Target id of this agent. Echo values are bound to it.
  target_id incarnation = 0;
  /// Maximum number of requests that run on the upstream concurrently.
  uint32_t slots = 1;
  /// Maximum number of requests that wait for a slot.
  size_t queue_capacity = 64;
  /// Maximum number of runs kept to recognize repeated requests.
  size_t dedup_capacity = 1 << 16;
  /// Number of legs to the upstream; at least 2.
  size_t legs = 8;
  /// Number of the elective CoAP option that carries the time remaining until
  /// the request's deadline, in milliseconds, to the upstream. 0 disables it.
  uint16_t deadline_option = 0;
  /// Seed of all random number generators.
  uint64_t seed = 0;
  /// Secret key for the Echo values of this incarnation; at least 16 random
  /// bytes.
  std::string echo_key;
};

/// Current load, measured from the traffic of one request_core.
struct request_load {
  /// Configured number of slots.
  uint32_t slots = 0;
  /// Number of usable slots, reduced while the upstream sheds requests.
  uint32_t limit = 0;
  uint32_t used = 0;
  uint32_t queued = 0;
  /// Number of flows that have an observation and have sent no other request
  /// to this core.
  uint32_t observing_flows = 0;
};

/// Handles every request to one upstream: admission, at-most-once execution,
/// retries, answers and flow handover. It terminates the callers' CoAP message
/// layer and acts as a separate CoAP client towards the upstream.
///
/// The class has no sockets and no clock. Each event function takes the current
/// time and returns the actions to perform; the caller must perform all of
/// them, in order.
class request_core {
 public:
  explicit request_core(request_core_settings settings);

  /// Replaces the call kinds of the service.
  void OnServiceCalls(std::vector<call_kind> calls);
  /// Replaces the set of targets that are alive in the view, including this
  /// one.
  void OnLiveTargets(absl::flat_hash_set<target_id> targets);
  /// Records that a target of this service was lost without handing over its
  /// flows. For kMaxTransmitSpan after that, a request of a flow that is new to
  /// this core may already have run on the lost target.
  void OnTargetLost(absl::Time now) { target_lost_at_ = now; }
  /// Other targets may take over flows of this core, without its knowledge,
  /// from `valid_until` on, and run a request of which a copy comes here. Until
  /// this is called, they never do.
  void OnLease(absl::Time valid_until) { lease_valid_until_ = valid_until; }

  /// Handles a datagram that a caller sent to this service.
  request_actions OnCallerMessage(const flow_key& flow,
                                  std::string_view datagram, absl::Time now);
  /// Handles a caller's datagram that another agent, the holder of the flow,
  /// sent here with forward_to_holder.
  request_actions OnForwardedMessage(const flow_key& flow,
                                     std::string_view datagram, absl::Time now);
  /// Handles a datagram received on a leg; ignored if the leg is closed.
  request_actions OnUpstreamMessage(leg_id leg, std::string_view datagram,
                                    absl::Time now);
  /// Runs all timers that have expired by `now`.
  request_actions OnTick(absl::Time now);
  /// The earliest time at which OnTick has work; InfiniteFuture if none.
  absl::Time NextDeadline() const { return timers_.Next(); }

  /// Handles an upstream that refuses connections or has restarted. All
  /// requests in progress are lost.
  request_actions OnUpstreamGone(absl::Time now);
  /// Stops admitting new requests. A flow_idle action follows for each flow
  /// that can be exported. No effect if already draining.
  request_actions BeginDrain(absl::Time now);
  /// True if draining and no flow has a request or transfer in flight.
  bool Drained() const;

  /// Removes an idle flow and returns its serialized state for the successor.
  /// Returns nullopt if the flow is unknown or busy, or if this core is not
  /// draining.
  std::optional<std::string> ExportFlow(const flow_key& flow, absl::Time now);
  /// Takes over a flow exported by another holder. Fails with
  /// kMalformedMessage and leaves the core unchanged if `snapshot` is invalid.
  result<request_actions> ImportFlow(const flow_key& flow,
                                     std::string_view snapshot, absl::Time now);
  /// Removes a flow that is now held by another target. Its pending requests
  /// are dropped without an answer; its run records are kept.
  request_actions DropFlow(const flow_key& flow, absl::Time now);

  request_load Load() const;
  /// Number of stored Echo credentials of former holders. Credentials are kept
  /// while this core has the flow and for EXCHANGE_LIFETIME after its end.
  size_t inherited_credentials() const { return imported_credentials_.size(); }

 private:
  using timer_handler = void (request_core::*)(uint64_t id, absl::Time now);
  static timer_handler HandlerOf(timer_kind kind);

  // request_core.cc: events, admission, timers.
  /// Returns the actions emitted since the last call and clears them.
  request_actions TakeActions();
  template <class Action>
  void Emit(Action action) {
    actions_.emplace_back(std::move(action));
  }
  void LogDecision(const caller_request& request, decision_kind decision,
                   decision_reason reason = decision_reason::kNone);
  const call_kind& KindOf(const caller_request& request) const {
    return matcher_.At(request.kind);
  }
  caller_request* FindRequest(uint64_t id);
  caller_request* AddRequest(caller_request request);
  /// Queues a request, or answers not-run if it cannot be admitted.
  void Admit(caller_request request, absl::Time now);
  void Enqueue(caller_request* request, absl::Time now);
  /// Starts queued requests while slots are free.
  void StartQueuedRequests(absl::Time now);
  void Start(caller_request* request, absl::Time now);
  /// The latest start time that is likely to meet the request's deadline.
  absl::Time LatestStart(const caller_request& request) const;
  /// Estimated time until the requests in `ahead` and all running requests are
  /// done.
  absl::Duration EstimateBacklog(const std::vector<queued_request>& ahead,
                                 absl::Time now) const;
  /// Releases a slot and clears the flag; no effect if the flag is not set.
  void ReleaseSlot(bool* holds_slot);
  /// True if the request is expected to start in time for its deadline.
  bool CanMeetDeadline(const caller_request& request, absl::Time now) const;
  /// Ends all requests that are queued or wait for a retry, except those of
  /// block-wise transfers.
  void RejectWaitingRequests(decision_reason reason, absl::Time now);
  void OnQueueTimeout(uint64_t id, absl::Time now);
  void OnRunDeadline(uint64_t id, absl::Time now);
  void OnRetryDue(uint64_t id, absl::Time now);
  void OnSweep(uint64_t id, absl::Time now);
  void OnDrainGrace(uint64_t id, absl::Time now);

  // request_core_caller.cc: messages from callers.
  void HandleDatagram(const flow_key& flow, std::string_view datagram,
                      absl::Time now);
  flow_state* FindOrAddFlow(const flow_key& flow, absl::Time now);
  /// Handles an acknowledgement, reset, ping or unexpected response.
  void HandleNonRequest(const flow_key& flow, const coap_message& message,
                        absl::Time now);
  void HandleRequest(const flow_key& flow, std::string_view datagram,
                     coap_message message, absl::Time now);
  /// Returns true if the message id is a duplicate; resends the recorded
  /// answer, if any.
  bool AnswerDuplicate(const flow_key& flow, const coap_message& message,
                       absl::Time now);
  /// Finds the call kind of a request and rejects, continues or admits it.
  void Classify(caller_request request, std::string_view datagram,
                absl::Time now);

  // request_core_echo.cc: at-most-once execution.
  /// Each Check function returns true if the request may be admitted, and
  /// otherwise has handled it.
  bool CheckEcho(caller_request* request, std::string_view datagram,
                 absl::Time now);
  /// Adds a run record for the request's Echo value. Returns false, after
  /// answering not-run, if the table of runs is full.
  bool RegisterRun(caller_request* request, const parsed_echo& reading,
                   uint64_t digest, absl::Time now);
  void CountOpenRun(const run_record& record);
  bool CheckForeignEcho(caller_request* request, const parsed_echo& reading,
                        std::string_view datagram, absl::Time now);
  bool CheckInheritedEcho(caller_request* request, echo_credential* issuer,
                          absl::Time now);
  void HandleRepeat(caller_request request, run_record* record, absl::Time now);
  /// Stores the answer of a run and sends it to the repeats that wait for it.
  void RecordRunAnswer(const std::string& echo, const coap_message& answer,
                       absl::Time now);
  void AnswerRunUnknown(const caller_request& request, decision_reason reason,
                        absl::Time now);
  void Challenge(const caller_request& request, decision_reason reason,
                 absl::Time now);

  // request_core_transfer.cc: block-wise transfers.
  /// Returns true if the request was handled here, as a later or repeated block
  /// of a transfer, or was refused; it must not be admitted then.
  bool ContinueTransfer(caller_request* request, absl::Time now);
  void ResumeTransfer(block_transfer* transfer, caller_request request,
                      absl::Time now);
  void UpdateTransfer(caller_request* request, const coap_message& response,
                      absl::Time now);
  void EndTransfer(uint64_t id, const coap_message& answer, absl::Time now);
  void OnTransferIdle(uint64_t id, absl::Time now);
  /// Frees a slot that an idle transfer holds if a request that was admitted
  /// earlier is queued. Returns true if a slot is free afterwards.
  bool ReclaimIdleSlot();
  void OnTransferExpired(uint64_t id, absl::Time now);
  /// Ends an inherited transfer, and refuses its request, if the response shows
  /// that the representation has changed since. Returns true if it did so.
  bool FailIfRepresentationChanged(const caller_request& request,
                                   const coap_message& response,
                                   absl::Time now);

  // request_core_answer.cc: answers to callers.
  // "Not run" (5.03) guarantees that the upstream did not execute the request;
  // "run unknown" (5.04) does not.
  void Refuse(const caller_request& request, uint8_t code,
              decision_reason reason, absl::Time now);
  coap_message BuildNotRunAnswer(const caller_request& request, absl::Time now);
  /// True if the request may have run on a target that was lost recently, or on
  /// one that has taken over from this one.
  bool MayHaveRunElsewhere(const caller_request& request, absl::Time now) const;
  /// A not-run answer, or a run-unknown answer if an earlier delivery of the
  /// request may have run.
  coap_message BuildFailureAnswer(const caller_request& request,
                                  absl::Time now);
  /// Sends the failure answer of a request that was not admitted.
  void AnswerNotRun(const caller_request& request, decision_reason reason,
                    absl::Time now);
  /// Ends a pending request with its failure answer.
  void FinishNotRun(uint64_t id, decision_reason reason, absl::Time now);
  /// Ends a request with a run-unknown answer. Its exchange, if still running,
  /// keeps the slot until the upstream is expected to have finished.
  void FinishRunUnknown(uint64_t id, decision_reason reason, absl::Time now);
  /// Removes a request, releases its slot and sends its final answer.
  void Finish(uint64_t id, const coap_message& answer, decision_kind decision,
              decision_reason reason, absl::Time now);
  void SendAnswer(const caller_request& request, coap_message answer,
                  absl::Time now);
  void SendConfirmable(const flow_key& flow, const coap_message& message,
                       uint64_t observation, absl::Time now);
  /// Counts down the requests and transfers in flight of a flow.
  void DecrementInFlight(const flow_key& flow);
  /// While draining, emits flow_idle once the flow can be exported.
  void AnnounceIfIdle(const flow_key& flow, flow_state* state);
  void OnAcknowledgeDue(uint64_t id, absl::Time now);
  void OnCallerRetransmit(uint64_t id, absl::Time now);

  // request_core_upstream.cc: exchanges and legs.
  void SendToUpstream(caller_request* request, absl::Time now);
  /// The index in the leg pool of the leg to send a request on.
  size_t ChoosePlace(caller_request* request);
  /// Opens the leg at this index if necessary and returns it.
  leg_id EnsureLegOpen(size_t place, absl::Time now);
  std::string NextToken();
  /// Replaces any deadline option set by the caller.
  void SetDeadlineOption(const caller_request& request, coap_message* message,
                         absl::Time now) const;
  /// Schedules the next liveness check of a leg that has open exchanges or
  /// observations.
  void ScheduleLegCheck(size_t place, absl::Time now);
  /// Time without a message after which the leg is probed; InfiniteDuration if
  /// no message is expected.
  absl::Duration SilenceTimeout(size_t place) const;
  void SendProbe(size_t place, absl::Time now);
  /// Pings the upstream on the reference leg, to find out whether it would
  /// answer on a new leg.
  void ProbeReferenceLeg(absl::Time now);
  void HandleNonResponse(leg_id leg, const coap_message& message,
                         absl::Time now);
  void HandleResponse(leg_id leg, const coap_message& message, absl::Time now);
  void AcknowledgeUpstream(leg_id leg, const coap_message& message);
  void ResetUpstream(leg_id leg, const coap_message& message);
  void CompleteExchange(const upstream_exchange& exchange,
                        const coap_message& response, absl::Time now);
  /// Handles the response to an exchange whose request has already ended.
  void HandleLateResponse(const upstream_exchange& exchange,
                          const coap_message& response, absl::Time now);
  /// Schedules a retry if attempts, time and retry budget allow it; returns
  /// whether it did.
  bool RetryAfterShed(caller_request* request, absl::Time now);
  void ForwardResponse(uint64_t id, const coap_message& response,
                       absl::Time now);
  /// Detaches an exchange from its request and schedules the release of its
  /// slot.
  void AbandonExchange(uint64_t id, absl::Time now);
  void CloseLeg(size_t place);
  /// Replaces a lost leg and retries, ends or renews what used it.
  void ReopenLeg(size_t place, absl::Time now);
  /// Sends the request again if that is safe and in time; otherwise ends it
  /// with a run-unknown answer.
  void RetryAfterLegLoss(uint64_t exchange_id, absl::Time now);
  void OnUpstreamRetransmit(uint64_t id, absl::Time now);
  void OnSlotRelease(uint64_t id, absl::Time now);
  void OnLegCheck(uint64_t place, absl::Time now);

  // request_core_observe.cc: observations.
  /// Returns the Observe sequence number of the first answer to the caller.
  uint32_t StartObservation(const caller_request& request,
                            const upstream_exchange& exchange,
                            const coap_message& response, absl::Time now);
  void HandleNotification(observation* value, const coap_message& message,
                          absl::Time now);
  void Notify(observation* value, const coap_message& message, absl::Time now);
  /// Removes an observation without notifying the caller. Logged unless
  /// `reason` is kNone.
  void EndObservation(uint64_t id, decision_reason reason);
  /// Updates observing_flows_ after a change of the flow.
  void UpdateObservingCount(flow_state* state);
  /// Sends the caller a final not-run notification and ends the observation.
  void FailObservation(uint64_t id, decision_reason reason, absl::Time now);
  /// Queues a new registration with the upstream, unless one is pending.
  void RenewRegistration(observation* value, absl::Time now);
  void FinishRegistration(uint64_t request_id,
                          const upstream_exchange& exchange,
                          const coap_message& response, absl::Time now);
  void OnRegistrationFailed(uint64_t id, absl::Time now);
  void ScheduleRefresh(const observation& value, const coap_message& message,
                       absl::Time now);
  void OnObservationRefresh(uint64_t id, absl::Time now);

  // request_core_handover.cc: export and import of flows.
  void RemoveFlow(const flow_key& flow);
  void ExpireCredentials(absl::Time now);
  void ImportHolders(const inner::flow_snapshot& snapshot, flow_state* state,
                     absl::Time now);
  void ImportRun(const inner::run_snapshot& run, const flow_key& flow,
                 absl::Time now);
  void ImportTransfer(const inner::transfer_snapshot& snapshot,
                      const flow_key& flow, absl::Time now);
  void ImportObservation(const inner::observation_snapshot& snapshot,
                         const flow_key& flow, absl::Time now);

  request_core_settings settings_;
  std::mt19937_64 random_;
  call_matcher matcher_;
  run_time_estimator running_time_;
  admission_queue queue_;
  slot_pool slots_;
  retry_after_schedule returns_;
  retry_budget retry_budget_;
  echo_guard echo_;
  dedup_table runs_;
  exchange_table exchanges_;
  leg_pool legs_;
  observation_table observations_;
  transfer_table transfers_;
  confirmable_sender confirmables_;
  timer_queue timers_;
  absl::node_hash_map<flow_key, flow_state> flows_;
  absl::node_hash_map<uint64_t, caller_request> requests_;
  uint32_t observing_flows_ = 0;
  absl::flat_hash_set<uint64_t> running_requests_;
  absl::flat_hash_set<target_id> live_targets_;
  /// Echo credentials of the former holders of imported flows, by holder and
  /// HashOf the flow. All runs under these credentials were imported too.
  absl::flat_hash_map<std::pair<target_id, uint64_t>, inherited_credential>
      imported_credentials_;
  /// HashOf of the exported flows, whose Echo values a successor may admit.
  absl::flat_hash_set<uint64_t> exported_flows_;
  /// Number of runs without an answer, by HashOf the flow that their Echo value
  /// was issued to.
  absl::flat_hash_map<uint64_t, uint32_t> open_run_counts_;
  uint64_t next_id_ = 1;
  absl::Time target_lost_at_ = absl::InfinitePast();
  absl::Time lease_valid_until_ = absl::InfiniteFuture();
  bool draining_ = false;
  request_actions actions_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_CORE_H_
