#include "cardamomroute/operator_gateway.h"

#include <algorithm>
#include <utility>

#include "base/error_kind.h"
#include "cardamomroute/control_answers.h"

namespace cardamomroute {
namespace {

bool IsServed(const inner::operator_answer& answer) {
  return answer.code() == kOkCode || answer.code() == kAcceptedCode;
}

}  // namespace

uint64_t operator_gateway::Begin(inner::operator_request request,
                                 absl::Time now) {
  if (waiting_.size() >= kGatewayRequests) {
    return 0;
  }
  const uint64_t number = next_request_++;
  request.set_request(number);
  waiting_[number] = {std::move(request), now + kGatewayTimeout, now, {}};
  return number;
}

std::vector<inner::operator_request> operator_gateway::TakeDue(absl::Time now) {
  std::vector<inner::operator_request> due;
  for (auto& [number, waiting] : waiting_) {
    if (now >= waiting.due) {
      waiting.due = absl::InfiniteFuture();
      due.push_back(waiting.request);
    }
  }
  return due;
}

void operator_gateway::OnAnswer(const inner::operator_answer& answer,
                                absl::Time now) {
  const auto found = waiting_.find(answer.request());
  if (found == waiting_.end()) {
    return;
  }
  const bool is_elsewhere = answer.code() == CodeOf(error_kind::kNotLeader) &&
                            !answer.leader().empty();
  if (!IsServed(answer) && !is_elsewhere) {
    found->second.last = answer;
    found->second.due = now + kGatewayRetry;
    return;
  }
  outcomes_.push_back({answer.request(),
                       is_elsewhere ? gateway_outcome::kind::kElsewhere
                                    : gateway_outcome::kind::kDone,
                       answer});
  waiting_.erase(found);
}

std::vector<gateway_outcome> operator_gateway::TakeOutcomes(absl::Time now) {
  for (auto entry = waiting_.begin(); entry != waiting_.end();) {
    if (now >= entry->second.deadline) {
      outcomes_.push_back({entry->first, gateway_outcome::kind::kUnavailable,
                           std::move(entry->second.last)});
      entry = waiting_.erase(entry);
    } else {
      ++entry;
    }
  }
  return std::exchange(outcomes_, {});
}

absl::Time operator_gateway::NextDeadline() const {
  absl::Time next = absl::InfiniteFuture();
  for (const auto& [number, waiting] : waiting_) {
    next = std::min({next, waiting.due, waiting.deadline});
  }
  return next;
}

}  // namespace cardamomroute
