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
#include "requests/retry_budget.h"
#include "requests/return_schedule.h"
#include "requests/running_time.h"
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

/// What a request core is made with.
struct request_core_settings {
  /// This agent's target id; Echo values are bound to it.
  target_id incarnation = 0;
  /// Requests that the upstream can run at the same time.
  uint32_t slots = 1;
  /// Requests that may wait for a slot.
  size_t queue_capacity = 64;
  /// Runs that are remembered for repeats.
  size_t dedup_capacity = 1 << 16;
  /// Legs to the upstream, at least 2.
  size_t legs = 8;
  /// Number of the elective option that tells the upstream how many
  /// milliseconds a request has left when it is sent; 0: none does.
  uint16_t deadline_option = 0;
  /// Seed of every random choice.
  uint64_t seed = 0;
  /// Secret of this incarnation, at least 16 random bytes.
  std::string echo_key;
};

/// Present load, as measured on the core's own traffic.
struct request_load {
  uint32_t slots = 0;
  /// Slots in use after reductions for shed load.
  uint32_t limit = 0;
  uint32_t used = 0;
  uint32_t queued = 0;
  /// Flows that have an observation and asked for nothing else here.
  uint32_t observing_flows = 0;
};

/// Decides about every request to one upstream: admission, at-most-once
/// execution, retries, answers, handover. It ends the message layer of the
/// callers and is a client of its own towards the upstream. No sockets, no
/// clock: events in, actions out. Each event's actions are to be carried out
/// in order; none may be left out.
class request_core {
 public:
  explicit request_core(request_core_settings settings);

  /// The service's kinds of call as in force.
  void OnServiceCalls(std::vector<call_kind> calls);
  /// The target ids that are alive in the view, this one included.
  void OnLiveTargets(absl::flat_hash_set<target_id> targets);
  /// A target of this service vanished without handing its flows over. For a
  /// while a request of a flow that is new here may have run there.
  void OnTargetLost(absl::Time now) { target_lost_at_ = now; }

  /// A datagram of a caller, who is known to want this service.
  request_actions OnCallerMessage(const flow_key& flow,
                                  std::string_view datagram, absl::Time now);
  /// The same for a datagram that another agent passed on by forward_to_holder
  /// and whose flow that agent holds.
  request_actions OnForwardedMessage(const flow_key& flow,
                                     std::string_view datagram, absl::Time now);
  /// A datagram that came over a leg; ignored when the leg is closed.
  request_actions OnUpstreamMessage(leg_id leg, std::string_view datagram,
                                    absl::Time now);
  /// Does all that is due.
  request_actions OnTick(absl::Time now);
  /// When OnTick has something to do next, or InfiniteFuture.
  absl::Time NextDeadline() const { return timers_.Next(); }

  /// The upstream refuses connections or was restarted: what runs is lost.
  request_actions OnUpstreamGone(absl::Time now);
  /// From now on no new work; flow_idle actions name the flows to export.
  request_actions BeginDrain(absl::Time now);
  /// True when draining and no flow has a request in flight.
  bool Drained() const;

  /// Takes out the state of an idle flow while draining, for a successor.
  /// None when the flow is unknown, busy, or this core does not drain.
  std::optional<std::string> ExportFlow(const flow_key& flow, absl::Time now);
  /// Continues a flow that another holder exported. Fails with
  /// kMalformedMessage, then nothing is changed.
  result<request_actions> ImportFlow(const flow_key& flow,
                                     std::string_view snapshot, absl::Time now);
  /// Forgets a flow that another target holds; its requests are dropped
  /// without an answer from here, runs stay known.
  request_actions DropFlow(const flow_key& flow, absl::Time now);

  request_load Load() const;
  /// Credentials of former holders that are kept: those of the flows held
  /// here, and for EXCHANGE_LIFETIME those of flows that ended here.
  size_t inherited_credentials() const { return imported_.size(); }

 private:
  using timer_handler = void (request_core::*)(uint64_t id, absl::Time now);
  static timer_handler HandlerOf(timer_kind kind);

  // request_core.cc: events, admission, timers.
  request_actions TakeActions();
  template <class Action>
  void Emit(Action action) {
    actions_.emplace_back(std::move(action));
  }
  void Log(const caller_request& request, decision_kind decision,
           decision_reason reason = decision_reason::kNone);
  const call_kind& KindOf(const caller_request& request) const {
    return matcher_.At(request.kind);
  }
  caller_request* FindRequest(uint64_t id);
  caller_request* AddRequest(caller_request request);
  void Admit(caller_request request, absl::Time now);
  void Enqueue(caller_request* request, absl::Time now);
  void StartWaiting(absl::Time now);
  void Start(caller_request* request, absl::Time now);
  absl::Time LatestStart(const caller_request& request) const;
  absl::Duration WorkAhead(const std::vector<queued_request>& ahead,
                           absl::Time now) const;
  void ReleaseSlot(bool* holds_slot);
  bool IsFeasible(const caller_request& request, absl::Time now) const;
  void GiveUpWaiting(decision_reason reason, absl::Time now);
  void OnQueueGiveUp(uint64_t id, absl::Time now);
  void OnRunDeadline(uint64_t id, absl::Time now);
  void OnRetryDue(uint64_t id, absl::Time now);
  void OnSweep(uint64_t id, absl::Time now);
  void OnDrainGrace(uint64_t id, absl::Time now);

  // request_core_caller.cc: messages of callers.
  void HandleDatagram(const flow_key& flow, std::string_view datagram,
                      absl::Time now);
  flow_state* FlowOf(const flow_key& flow, absl::Time now);
  void HandleControl(const flow_key& flow, const coap_message& message,
                     absl::Time now);
  void HandleRequest(const flow_key& flow, std::string_view datagram,
                     coap_message message, absl::Time now);
  bool AnswerSeen(const flow_key& flow, const coap_message& message,
                  absl::Time now);
  void Classify(caller_request request, std::string_view datagram,
                absl::Time now);

  // request_core_echo.cc: at-most-once execution.
  bool PassEcho(caller_request* request, std::string_view datagram,
                absl::Time now);
  bool PassFresh(caller_request* request, const echo_reading& reading,
                 uint64_t digest, absl::Time now);
  void OpenRun(const run_record& record);
  bool PassForeign(caller_request* request, const echo_reading& reading,
                   std::string_view datagram, absl::Time now);
  bool PassInherited(caller_request* request, echo_credential* issuer,
                     absl::Time now);
  void HandleRepeat(caller_request request, run_record* record, absl::Time now);
  void SettleRun(const std::string& echo, const coap_message& answer,
                 absl::Time now);
  void AnswerUnknown(const caller_request& request, decision_reason reason,
                     absl::Time now);
  void Challenge(const caller_request& request, decision_reason reason,
                 absl::Time now);

  // request_core_transfer.cc: block-wise transfers.
  bool ContinueTransfer(caller_request* request, absl::Time now);
  void ResumeTransfer(block_transfer* transfer, caller_request request,
                      absl::Time now);
  void UpdateTransfer(caller_request* request, const coap_message& response,
                      absl::Time now);
  void EndTransfer(uint64_t id, const coap_message& answer, absl::Time now);
  void OnTransferIdle(uint64_t id, absl::Time now);
  /// Takes the slots of idle transfers for work that was admitted before and
  /// waits; false when none is free after that.
  bool FreeIdleSlot();
  void OnTransferForget(uint64_t id, absl::Time now);
  /// Ends an inherited transfer that the upstream cannot go on with.
  bool EndIfChanged(const caller_request& request, const coap_message& response,
                    absl::Time now);

  // request_core_answer.cc: answers to callers.
  void Refuse(const caller_request& request, uint8_t code,
              decision_reason reason, absl::Time now);
  coap_message NotRunAnswer(const caller_request& request, absl::Time now);
  bool MayHaveRunElsewhere(const caller_request& request, absl::Time now) const;
  coap_message GivenUpAnswer(const caller_request& request, absl::Time now);
  void AnswerNotRun(const caller_request& request, decision_reason reason,
                    absl::Time now);
  void GiveUp(uint64_t id, decision_reason reason, absl::Time now);
  void EndUnknown(uint64_t id, decision_reason reason, absl::Time now);
  void Finish(uint64_t id, const coap_message& answer, decision_kind decision,
              decision_reason reason, absl::Time now);
  void SendAnswer(const caller_request& request, coap_message answer,
                  absl::Time now);
  void SendConfirmable(const flow_key& flow, const coap_message& message,
                       uint64_t observation, absl::Time now);
  void CloseOpen(const flow_key& flow);
  void AnnounceIfIdle(const flow_key& flow, flow_state* state);
  void OnAcknowledgeDue(uint64_t id, absl::Time now);
  void OnCallerRetransmit(uint64_t id, absl::Time now);

  // request_core_upstream.cc: exchanges and legs.
  void SendToUpstream(caller_request* request, absl::Time now);
  size_t ChoosePlace(caller_request* request);
  leg_id UseLeg(size_t place, absl::Time now);
  std::string NextToken();
  void TellDeadline(const caller_request& request, coap_message* message,
                    absl::Time now) const;
  void WatchLeg(size_t place, absl::Time now);
  absl::Duration QuietLimit(size_t place) const;
  void SendProbe(size_t place, absl::Time now);
  /// Finds out whether a new leg would be answered.
  void ProbeReference(absl::Time now);
  void HandleUpstreamControl(leg_id leg, const coap_message& message,
                             absl::Time now);
  void HandleResponse(leg_id leg, const coap_message& message, absl::Time now);
  void AcknowledgeUpstream(leg_id leg, const coap_message& message);
  void ResetUpstream(leg_id leg, const coap_message& message);
  void Complete(const upstream_exchange& exchange, const coap_message& response,
                absl::Time now);
  void LateAnswer(const upstream_exchange& exchange,
                  const coap_message& response, absl::Time now);
  bool RetryShed(caller_request* request, absl::Time now);
  void AnswerFromUpstream(uint64_t id, const coap_message& response,
                          absl::Time now);
  void AbandonExchange(uint64_t id, absl::Time now);
  void CloseLeg(size_t place);
  void ReopenLeg(size_t place, absl::Time now);
  void RunAgainOrEnd(uint64_t exchange_id, absl::Time now);
  void OnUpstreamRetransmit(uint64_t id, absl::Time now);
  void OnSlotRelease(uint64_t id, absl::Time now);
  void OnLegCheck(uint64_t place, absl::Time now);

  // request_core_observe.cc: observations.
  /// The sequence number for the caller.
  uint32_t StartObservation(const caller_request& request,
                            const upstream_exchange& exchange,
                            const coap_message& response, absl::Time now);
  void HandleNotification(observation* value, const coap_message& message,
                          absl::Time now);
  void Notify(observation* value, const coap_message& message, absl::Time now);
  void EndObservation(uint64_t id, decision_reason reason);
  /// Brings the number of flows that only observe up to date.
  void CountObserving(flow_state* state);
  void FailObservation(uint64_t id, decision_reason reason, absl::Time now);
  void RegisterAgain(observation* value, absl::Time now);
  void FinishRegistration(uint64_t request_id,
                          const upstream_exchange& exchange,
                          const coap_message& response, absl::Time now);
  void RegistrationFailed(uint64_t id, absl::Time now);
  void ScheduleRefresh(const observation& value, const coap_message& message,
                       absl::Time now);
  void OnObservationRefresh(uint64_t id, absl::Time now);

  // request_core_handover.cc: state of flows.
  void ForgetFlow(const flow_key& flow);
  void ExpireCredentials(absl::Time now);
  void AdoptHolders(const inner::flow_snapshot& snapshot, flow_state* state,
                    absl::Time now);
  void AdoptRun(const inner::run_snapshot& run, const flow_key& flow,
                absl::Time now);
  void AdoptTransfer(const inner::transfer_snapshot& snapshot,
                     const flow_key& flow, absl::Time now);
  void AdoptObservation(const inner::observation_snapshot& snapshot,
                        const flow_key& flow, absl::Time now);

  request_core_settings settings_;
  std::mt19937_64 random_;
  call_matcher matcher_;
  running_time running_time_;
  admission_queue queue_;
  slot_pool slots_;
  return_schedule returns_;
  retry_budget retries_;
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
  absl::flat_hash_set<uint64_t> running_;
  absl::flat_hash_set<target_id> live_targets_;
  /// Holder and HashOf of flows that were imported with all their runs.
  absl::flat_hash_map<std::pair<target_id, uint64_t>, inherited_credential>
      imported_;
  /// HashOf of flows whose Echo values a successor may admit from now on.
  absl::flat_hash_set<uint64_t> exported_;
  /// Open runs by the HashOf of the flow their Echo was issued to.
  absl::flat_hash_map<uint64_t, uint32_t> open_runs_;
  uint64_t next_id_ = 1;
  absl::Time target_lost_at_ = absl::InfinitePast();
  bool draining_ = false;
  request_actions actions_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_CORE_H_
