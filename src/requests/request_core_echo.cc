#include <limits>
#include <utility>
#include <vector>

#include "requests/protocol_times.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {

bool request_core::CheckEcho(caller_request* request, std::string_view datagram,
                             absl::Time now) {
  const std::string echo = OptionValue(request->message, option_number::kEcho);
  if (echo.empty()) {
    Challenge(*request, decision_reason::kEchoAbsent, now);
    return false;
  }
  const uint64_t digest = DigestOf(request->message);
  run_record* record = runs_.Find(echo);
  if (record != nullptr && record->digest == digest) {
    HandleRepeat(*request, record, now);
    return false;
  }
  if (record != nullptr) {
    Challenge(*request, decision_reason::kEchoReused, now);
    return false;
  }
  const parsed_echo reading = echo_.Read(echo, now);
  switch (reading.verdict) {
    case echo_verdict::kFresh:
      if (exported_flows_.contains(reading.issued_to)) {
        // The flow was exported: its successor may have run the request or may
        // run it later.
        AnswerRunUnknown(*request, decision_reason::kOtherIncarnation, now);
        return false;
      }
      request->echo = echo;
      return RegisterRun(request, reading, digest, now);
    case echo_verdict::kForeign:
      return CheckForeignEcho(request, reading, datagram, now);
    case echo_verdict::kStale:
      Challenge(*request, decision_reason::kEchoStale, now);
      return false;
    case echo_verdict::kForged:
      Challenge(*request, decision_reason::kEchoForged, now);
      return false;
  }
  return false;
}

bool request_core::RegisterRun(caller_request* request,
                               const parsed_echo& reading, uint64_t digest,
                               absl::Time now) {
  if (runs_.IsFull()) {
    // The table has no room to record this not-run answer. The Echo values
    // issued so far are invalidated instead, so that a delayed copy of the
    // request cannot run after its caller was told that it was not run.
    echo_.WithdrawAll();
    request->echo.clear();
    AnswerNotRun(*request, decision_reason::kDedupTableFull, now);
    return false;
  }
  run_record record;
  record.echo = request->echo;
  record.issued_to = reading.issued_to;
  record.flow = request->flow;
  record.digest = digest;
  record.expires_at = now + kExchangeLifetime;
  CountOpenRun(*runs_.Add(std::move(record)));
  return true;
}

void request_core::CountOpenRun(const run_record& record) {
  ++open_run_counts_[record.issued_to];
}

bool request_core::CheckForeignEcho(caller_request* request,
                                    const parsed_echo& reading,
                                    std::string_view datagram, absl::Time now) {
  const auto issuer =
      imported_credentials_.find({reading.incarnation, reading.issued_to});
  if (issuer != imported_credentials_.end()) {
    return CheckInheritedEcho(request, &issuer->second.issuer, now);
  }
  if (live_targets_.contains(reading.incarnation)) {
    flows_[request->flow].seen.Forget(request->message.id);
    LogDecision(*request, decision_kind::kForwarded,
                decision_reason::kOtherIncarnation);
    Emit(forward_to_holder{request->flow, reading.incarnation,
                           std::string(datagram)});
    return false;
  }
  AnswerRunUnknown(*request, decision_reason::kLostIncarnation, now);
  return false;
}

bool request_core::CheckInheritedEcho(caller_request* request,
                                      echo_credential* issuer, absl::Time now) {
  // The flow was imported with every run under its Echo values, and the issuer
  // no longer admits requests. A request without a run record never ran.
  const std::string echo = OptionValue(request->message, option_number::kEcho);
  const parsed_echo reading = echo_guard::ReadForeign(echo, *issuer, now);
  if (reading.verdict != echo_verdict::kFresh) {
    Challenge(*request, decision_reason::kEchoStale, now);
    return false;
  }
  if (runs_.IsFull()) {
    // As in RegisterRun: Echo values are invalidated because the not-run answer
    // cannot be recorded.
    issuer->first_valid_serial = std::numeric_limits<uint64_t>::max();
  }
  request->echo = echo;
  return RegisterRun(request, reading, DigestOf(request->message), now);
}

void request_core::HandleRepeat(caller_request request, run_record* record,
                                absl::Time now) {
  runs_.ExtendExpiry(record, now + kExchangeLifetime);
  if (record->answered) {
    LogDecision(request, decision_kind::kRepeatAnswered);
    SendAnswer(request, record->answer, now);
    return;
  }
  LogDecision(request, decision_kind::kRepeatAttached);
  record->waiting.push_back(request.id);
  request.state = request_state::kAttached;
  const caller_request* added = AddRequest(std::move(request));
  OnAcknowledgeDue(added->id, now);
}

void request_core::RecordRunAnswer(const std::string& echo,
                                   const coap_message& answer, absl::Time now) {
  run_record* record = runs_.Find(echo);
  if (record == nullptr) {
    return;
  }
  record->answer = answer;
  RemoveOption(&record->answer, option_number::kEcho);
  runs_.ExtendExpiry(record, now + kExchangeLifetime);
  if (record->answered) {
    return;
  }
  record->answered = true;
  const auto open = open_run_counts_.find(record->issued_to);
  if (--open->second == 0) {
    open_run_counts_.erase(open);
  }
  std::vector<uint64_t> waiting;
  waiting.swap(record->waiting);
  for (const uint64_t id : waiting) {
    Finish(id, answer, decision_kind::kRepeatAnswered, decision_reason::kNone,
           now);
  }
  if (draining_) {
    for (auto& [flow, state] : flows_) {
      if (state.hash == record->issued_to) {
        AnnounceIfIdle(flow, &state);
      }
    }
  }
}

void request_core::AnswerRunUnknown(const caller_request& request,
                                    decision_reason reason, absl::Time now) {
  LogDecision(request, decision_kind::kUnknown, reason);
  SendAnswer(request, MakeRunUnknownAnswer(), now);
}

void request_core::Challenge(const caller_request& request,
                             decision_reason reason, absl::Time now) {
  LogDecision(request, decision_kind::kChallenged, reason);
  SendAnswer(request, MakeRefusal(kUnauthorizedCode), now);
}

}  // namespace cardamomroute
