#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "base/log.h"
#include "cardamomroute/control_answers.h"
#include "cardamomroute/control_member.h"
#include "cardamomroute/control_report.h"

namespace cardamomroute {
namespace {

// When an operation that is not committed is answered with kOutcomeUnknown.
constexpr absl::Duration kCommitTimeout = absl::Milliseconds(1500);

error OutcomeUnknown() {
  return {error_kind::kOutcomeUnknown, "",
          "not confirmed by a majority in time; ask again with the same "
          "submission id"};
}

}  // namespace

void control_member::OnOperation(const std::string& client,
                                 const inner::operator_request& request,
                                 absl::Time now) {
  struct operation_row {
    std::string_view command;
    void (control_member::*run)(const std::string&,
                                const inner::operator_request&, absl::Time);
  };
  static constexpr std::array<operation_row, 7> kOperations = {
      {{"apply", &control_member::Apply},
       {"show", &control_member::Show},
       {"status", &control_member::Status},
       {"members", &control_member::Members},
       {"drain", &control_member::Drain},
       {"put-configuration", &control_member::PutConfiguration},
       {"show-configuration", &control_member::ShowConfiguration}}};
  for (const operation_row& row : kOperations) {
    if (row.command == request.command()) {
      (this->*row.run)(client, request, now);
      return;
    }
  }
  Refuse(client, {error_kind::kUsage, request.command(), "no such command"});
}

void control_member::Apply(const std::string& client,
                           const inner::operator_request& request,
                           absl::Time /*now*/) {
  if (request.submission_id().empty()) {
    Refuse(client, {error_kind::kUsage, "submission_id", "is missing"});
    return;
  }
  const result<void> begun = checker_->Begin(client, request);
  if (!begun) {
    Refuse(client, begun.error());
  }
}

void control_member::OnChecked(checked_submission checked, absl::Time now) {
  if (!checked.read) {
    RefuseText(checked.client, checked.read.error());
    return;
  }
  // What this member has applied was committed, leader or not.
  const auto earlier = state_.Recall(checked.read.value());
  if (!earlier) {
    Refuse(checked.client, earlier.error());
    return;
  }
  if (earlier.value() != nullptr) {
    AnswerOutcome(checked.client, *earlier.value(), now);
    return;
  }
  if (AnswerIfNoLease(checked.client, now)) {
    return;
  }
  const auto index = Propose(std::move(checked.command), now);
  if (!index) {
    Refuse(checked.client, index.error());
    return;
  }
  Await(index.value(), checked.client, now);
}

void control_member::Show(const std::string& client,
                          const inner::operator_request& /*request*/,
                          absl::Time now) {
  if (AnswerIfNoLease(client, now)) {
    return;
  }
  inner::operator_answer answer;
  answer.set_code(kOkCode);
  answer.set_version(state_.Text().version);
  answer.set_digest(state_.Text().digest);
  answer.set_text(state_.Text().text);
  Reply(client, std::move(answer));
}

void control_member::Status(const std::string& client,
                            const inner::operator_request& request,
                            absl::Time now) {
  if (AnswerIfNoLease(client, now)) {
    return;
  }
  uint64_t version = 0;
  if (!absl::SimpleAtoi(request.argument(), &version)) {
    version = state_.Text().version;
  } else if (version < state_.GroupBegin()) {
    Refuse(client, {error_kind::kOutcomeLost, request.argument(), ""});
    return;
  }
  const control::in_force_count count = registry_.CountInForce(version, now);
  inner::operator_answer answer;
  answer.set_code(kOkCode);
  answer.set_version(state_.Text().version);
  answer.set_digest(state_.Text().digest);
  answer.set_nodes(count.nodes);
  answer.set_nodes_in_force(count.in_force);
  children_.OnTick(now);
  answer.set_status_json(
      StatusJson(state_, registry_, children_, recorder_->registry(), now));
  Reply(client, std::move(answer));
}

void control_member::Members(const std::string& client,
                             const inner::operator_request& /*request*/,
                             absl::Time now) {
  // The leader knows most; without one, what is known here is of use.
  if (raft_->Membership().Members().empty() || !LeaderAddress().empty()) {
    AnswerIfNoLease(client, now);
    return;
  }
  inner::operator_answer answer;
  answer.set_code(kOkCode);
  answer.set_status_json(MembersJson(*raft_, now));
  Reply(client, std::move(answer));
}

void control_member::Drain(const std::string& client,
                           const inner::operator_request& request,
                           absl::Time now) {
  if (AnswerIfNoLease(client, now)) {
    return;
  }
  target_id id = 0;
  if (const auto* node = state_.Nodes().Find(request.argument())) {
    id = node->id;
  } else if (!absl::SimpleAtoi(request.argument(), &id)) {
    id = 0;
  }
  if (state_.View().FindTarget(id) == nullptr) {
    Refuse(client, {error_kind::kUnknownTarget, request.argument(), ""});
    return;
  }
  inner::command command;
  command.mutable_registry()->add_drained(id);
  const auto index = Propose(command, now);
  if (!index) {
    Refuse(client, index.error());
    return;
  }
  Await(index.value(), client, now);
}

// A version that is overtaken is acknowledged by any member that has applied a
// higher one: it was committed, leader or not.
void control_member::PutConfiguration(const std::string& client,
                                      const inner::operator_request& request,
                                      absl::Time now) {
  inner::operator_answer answer;
  answer.set_request(request.request());
  if (request.configuration().version() <= state_.Configuration()->version()) {
    answer.set_code(kAcceptedCode);
    answer.set_version(state_.Configuration()->version());
    Reply(client, std::move(answer));
    return;
  }
  if (const auto refusal = RefusalWithoutLease(now)) {
    Refuse(client, *refusal, request.request());
    return;
  }
  inner::command command;
  *command.mutable_configuration() = request.configuration();
  const auto index = Propose(command, now);
  if (!index) {
    Refuse(client, index.error(), request.request());
    return;
  }
  Await(index.value(), client, now, request.request());
}

void control_member::ShowConfiguration(const std::string& client,
                                       const inner::operator_request& request,
                                       absl::Time now) {
  if (const auto refusal = RefusalWithoutLease(now)) {
    Refuse(client, *refusal, request.request());
    return;
  }
  inner::operator_answer answer;
  answer.set_code(kOkCode);
  answer.set_request(request.request());
  answer.set_version(state_.Configuration()->version());
  answer.set_document(state_.Configuration()->document());
  Reply(client, std::move(answer));
}

void control_member::Await(uint64_t index, const std::string& client,
                           absl::Time now, uint64_t request) {
  pending_operation operation;
  operation.term = raft_->Term();
  operation.client = client;
  operation.request = request;
  operation.deadline = now + kCommitTimeout;
  pending_.emplace(index, std::move(operation));
}

void control_member::Resolve(uint64_t index, uint64_t term,
                             const control::apply_outcome& outcome,
                             absl::Time now) {
  const auto range = pending_.equal_range(index);
  for (auto entry = range.first; entry != range.second; ++entry) {
    const pending_operation& operation = entry->second;
    if (operation.term != term) {
      ResolveLost(operation);
    } else if (outcome.submission) {
      AnswerOutcome(operation.client, *outcome.submission, now);
    } else {
      // Only configurations come with a number.
      const bool is_put = operation.request != 0;
      inner::operator_answer answer;
      answer.set_code(is_put ? kAcceptedCode : kOkCode);
      answer.set_version(is_put ? state_.Configuration()->version()
                                : state_.View().version);
      answer.set_request(operation.request);
      Reply(operation.client, std::move(answer));
    }
  }
  pending_.erase(range.first, range.second);
}

// Another leader's entry took the place of the operation's. A repeat of a
// submission may still have been accepted there.
void control_member::ResolveLost(const pending_operation& operation) {
  Refuse(operation.client,
         {error_kind::kNotLeader, "",
          "leadership was lost before a majority had it"},
         operation.request);
}

void control_member::ResolveUpTo(uint64_t index) {
  const auto end = pending_.upper_bound(index);
  for (auto entry = pending_.begin(); entry != end; ++entry) {
    Refuse(entry->second.client, OutcomeUnknown(), entry->second.request);
  }
  pending_.erase(pending_.begin(), end);
}

void control_member::ExpirePending(absl::Time now) {
  for (auto entry = pending_.begin(); entry != pending_.end();) {
    if (now < entry->second.deadline) {
      ++entry;
      continue;
    }
    Refuse(entry->second.client, OutcomeUnknown(), entry->second.request);
    entry = pending_.erase(entry);
  }
}

std::optional<error> control_member::RefusalWithoutLease(absl::Time now) const {
  if (stalled_) {
    return error{error_kind::kDiskFull, settings_.control.data_folder, ""};
  }
  if (leading_term_ != 0 && !stopping_ && raft_->HoldsLease(now)) {
    return std::nullopt;
  }
  const bool knows_leader = !LeaderAddress().empty();
  return error{knows_leader ? error_kind::kNotLeader : error_kind::kNoQuorum,
               settings_.name, ""};
}

bool control_member::AnswerIfNoLease(const std::string& client,
                                     absl::Time now) {
  const auto refusal = RefusalWithoutLease(now);
  if (refusal) {
    Refuse(client, *refusal);
  }
  return refusal.has_value();
}

void control_member::Refuse(const std::string& client, const error& refusal,
                            uint64_t request) {
  inner::operator_answer answer = RefusalAnswer(refusal);
  answer.set_request(request);
  Reply(client, std::move(answer));
}

void control_member::RefuseText(const std::string& client,
                                const std::vector<error>& faults) {
  inner::operator_answer answer = RefusalAnswer(faults.front());
  for (const error& fault : faults) {
    inner::operator_fault* listed = answer.add_faults();
    listed->set_code(std::string(CodeOf(fault.kind)));
    listed->set_place(fault.place);
    listed->set_detail(fault.detail);
  }
  Reply(client, std::move(answer));
}

void control_member::AnswerOutcome(const std::string& client,
                                   const control::submission_outcome& outcome,
                                   absl::Time now) {
  inner::operator_answer answer;
  if (outcome.refusal) {
    answer = RefusalAnswer(*outcome.refusal);
  } else {
    answer.set_code(kAcceptedCode);
  }
  answer.set_version(outcome.version);
  answer.set_digest(outcome.digest);
  const control::in_force_count count =
      registry_.CountInForce(outcome.version, now);
  answer.set_nodes(count.nodes);
  answer.set_nodes_in_force(count.in_force);
  Reply(client, std::move(answer));
}

void control_member::Reply(const std::string& client,
                           inner::operator_answer answer) {
  answer.set_leader(LeaderAddress());
  log_line(log_level::kDebug, "operator_answer").With("code", answer.code());
  inner::control_answer envelope;
  *envelope.mutable_operation() = std::move(answer);
  outlet_->Answer(client, envelope);
}

// Empty while this member is the leader or knows none.
std::string control_member::LeaderAddress() const {
  const member_id leader = raft_->Leader();
  if (leader == self_.id()) {
    return "";
  }
  const inner::member_record* member = raft_->Membership().Find(leader);
  return member != nullptr ? member->address() : "";
}

// Where a node may try next while no leader is known.
std::string control_member::NextPeerAddress() const {
  const auto& peers = settings_.control.peers;
  for (size_t i = 0; i < peers.size(); ++i) {
    if (peers[i].name == settings_.name) {
      const control_peer& next = peers[(i + 1) % peers.size()];
      return next.name != settings_.name ? ToString(next.address) : "";
    }
  }
  return peers.empty() ? "" : ToString(peers.front().address);
}

}  // namespace cardamomroute
