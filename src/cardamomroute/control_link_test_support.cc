#include "cardamomroute/control_link_test_support.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {
namespace {

constexpr absl::Duration kRoundTrip = absl::Milliseconds(2);
constexpr const char* kLeader = "192.0.2.9:7000";

inner::operator_answer Coded(std::string_view code) {
  inner::operator_answer answer;
  answer.set_code(std::string(code));
  return answer;
}

}  // namespace

result<inner::operator_answer> fake_control_group::Ask(
    const endpoint& control, const inner::operator_request& request,
    absl::Time deadline) {
  now_ += kRoundTrip;
  const error lost{error_kind::kOutcomeUnknown, ToString(control), "lost"};
  if (request.command() == "apply") {
    sent_.insert(request.submission_id());
  }
  const fate met = next_ < fates_.size() ? fates_[next_++] : last_;
  switch (met) {
    case fate::kRefusedConnection:
      return error{error_kind::kUnreachable, ToString(control), "refused"};
    case fate::kRequestLost:
      now_ = deadline;
      return lost;
    case fate::kAnswerLost:
      Execute(request);
      now_ = deadline;
      return lost;
    case fate::kDelayed:
      delayed_.push_back(request);
      now_ = deadline;
      return lost;
    case fate::kNotLeader:
      return Coded(CodeOf(error_kind::kNotLeader));
    case fate::kNotLeaderWithHint: {
      inner::operator_answer answer = Coded(CodeOf(error_kind::kNotLeader));
      answer.set_leader(kLeader);
      return answer;
    }
    case fate::kNoQuorum:
      return Coded(CodeOf(error_kind::kNoQuorum));
    case fate::kOutcomeUnknown:
      Execute(request);
      return Coded(CodeOf(error_kind::kOutcomeUnknown));
    case fate::kRaced:
      ++version_;
      digest_[0] = digest_[0] == 'e' ? 'f' : 'e';
      break;
    case fate::kAnswered:
      break;
  }
  inner::operator_answer answer = Execute(request);
  DeliverDelayed();
  return answer;
}

void fake_control_group::DeliverDelayed() {
  for (const inner::operator_request& request : std::exchange(delayed_, {})) {
    Execute(request);
  }
}

inner::operator_answer fake_control_group::Execute(
    const inner::operator_request& request) {
  if (request.command() == "apply") {
    return Submit(request);
  }
  if (request.command() == "status" && !request.argument().empty()) {
    return Progress();
  }
  inner::operator_answer answer = Coded("ok");
  answer.set_version(version_);
  answer.set_digest(digest_);
  answer.set_text(text_);
  answer.set_status_json(R"({"version":3,"targets":[{"id":1}]})");
  return answer;
}

inner::operator_answer fake_control_group::Submit(
    const inner::operator_request& request) {
  if (refusal_) {
    return *refusal_;
  }
  const auto known = remembered_.find(request.submission_id());
  if (known != remembered_.end()) {
    return known->second;
  }
  const bool fits =
      request.base_version() == version_ && request.base_digest() == digest_;
  if (fits) {
    ++version_;
    digest_ = std::string(64, 'a');
    accepted_.insert(request.submission_id());
  }
  inner::operator_answer answer =
      Coded(fits ? "accepted" : CodeOf(error_kind::kVersionConflict));
  answer.set_version(version_);
  answer.set_digest(digest_);
  remembered_.emplace(request.submission_id(), answer);
  return answer;
}

inner::operator_answer fake_control_group::Progress() {
  inner::operator_answer answer = Coded("ok");
  in_force_ = std::min(in_force_ + 1, nodes_);
  answer.set_nodes_in_force(in_force_);
  answer.set_nodes(nodes_);
  return answer;
}

}  // namespace cardamomroute
