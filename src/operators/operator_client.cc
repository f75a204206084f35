#include "operators/operator_client.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "operators/control_link.h"

namespace cardamomroute {
namespace {

/// Longest wait for one answer before another control VM is asked.
constexpr absl::Duration kAttemptTimeout = absl::Seconds(2);

/// Between two rounds over the control VMs.
constexpr absl::Duration kRetryPause = absl::Milliseconds(200);

/// Answers that say nothing was done and another control VM, or the same one
/// later, may do it.
constexpr std::array<error_kind, 4> kTryElsewhere = {
    error_kind::kNotLeader, error_kind::kNoQuorum, error_kind::kUnreachable,
    error_kind::kDiskFull};

/// Answers that leave open whether it was done.
constexpr std::array<error_kind, 2> kLeftOpen = {error_kind::kOutcomeUnknown,
                                                 error_kind::kIoFailed};

template <size_t Size>
bool IsOneOf(const std::array<error_kind, Size>& kinds, std::string_view code) {
  return std::any_of(kinds.begin(), kinds.end(),
                     [code](error_kind kind) { return CodeOf(kind) == code; });
}

}  // namespace

struct operator_client::attempts {
  bool maybe_delivered = false;
  bool decided = false;
  /// `last` is what a control VM answered, not a failure to reach one.
  bool answered = false;
  /// Tries since the last pause.
  size_t in_round = 0;
  inner::operator_answer last;
};

operator_client::operator_client(control_link& link,
                                 std::vector<endpoint> control)
    : link_(link), control_(std::move(control)), present_(control_.front()) {}

inner::operator_answer operator_client::Ask(
    const inner::operator_request& request, absl::Time give_up_at) {
  attempts made;
  made.last.set_code(std::string(CodeOf(error_kind::kUnreachable)));
  while (!made.decided && link_.Now() < give_up_at) {
    const absl::Time deadline =
        std::min(give_up_at, link_.Now() + kAttemptTimeout);
    const auto given = link_.Ask(present_, request, deadline);
    if (given.has_value()) {
      NoteAnswer(given.value(), made);
    } else {
      NoteFailure(given.error(), made);
    }
    if (!made.decided && made.in_round > control_.size()) {
      made.in_round = 0;
      link_.Pause(std::min(kRetryPause, give_up_at - link_.Now()));
    }
  }
  if (!made.decided && made.maybe_delivered && ChangesState(request)) {
    made.last.set_code(std::string(CodeOf(error_kind::kOutcomeUnknown)));
  }
  return made.last;
}

void operator_client::NoteFailure(const error& failure, attempts& made) {
  made.maybe_delivered |= failure.kind != error_kind::kUnreachable;
  if (made.answered) {
    TryNext(made);
    return;
  }
  made.last.Clear();
  made.last.set_code(std::string(CodeOf(error_kind::kUnreachable)));
  made.last.set_place(ToString(present_));
  made.last.set_detail(failure.detail);
  TryNext(made);
}

void operator_client::NoteAnswer(const inner::operator_answer& given,
                                 attempts& made) {
  made.last = given;
  made.answered = true;
  if (IsOneOf(kLeftOpen, given.code())) {
    made.maybe_delivered = true;
    TryNext(made);
  } else if (IsOneOf(kTryElsewhere, given.code())) {
    FollowLeader(given.leader(), made);
  } else {
    made.decided = true;
  }
}

void operator_client::FollowLeader(const std::string& leader, attempts& made) {
  const result<endpoint> named = ParseEndpoint(leader);
  if (named.has_error() || named.value() == present_) {
    TryNext(made);
    return;
  }
  present_ = named.value();
  ++made.in_round;
}

void operator_client::TryNext(attempts& made) {
  next_ = (next_ + 1) % control_.size();
  present_ = control_[next_];
  ++made.in_round;
}

bool ChangesState(const inner::operator_request& request) {
  return request.command() == "apply" || request.command() == "drain";
}

answer ToAnswer(const inner::operator_answer& given) {
  answer made;
  made.code = given.code();
  made.place = given.place();
  made.detail = given.detail();
  made.version = given.version();
  made.digest = given.digest();
  made.nodes_in_force = given.nodes_in_force();
  made.nodes = given.nodes();
  return made;
}

std::vector<answer> ToAnswers(const inner::operator_answer& given,
                              const std::string& file) {
  constexpr std::string_view kText = "text";
  std::vector<answer> answers;
  for (const inner::operator_fault& fault : given.faults()) {
    answer made;
    made.code = fault.code();
    made.place = fault.place();
    made.detail = fault.detail();
    if (made.place == kText || made.place.rfind("text:", 0) == 0) {
      made.place.replace(0, kText.size(), file);
    }
    answers.push_back(std::move(made));
  }
  if (answers.empty()) {
    answers.push_back(ToAnswer(given));
  }
  return answers;
}

}  // namespace cardamomroute
