#include "cardamomroute/request_times.h"

#include "base/metric_recorder.h"

namespace cardamomroute {
namespace {

// Requests that are timed at the same time.
constexpr size_t kMaxOpen = size_t{1} << 16;

static_assert(static_cast<int>(metric::kLegsReopened) -
                  static_cast<int>(metric::kRequestsQueued) ==
              static_cast<int>(decision_kind::kLegReopened));

metric CounterOf(decision_kind decision) {
  return static_cast<metric>(static_cast<int>(metric::kRequestsQueued) +
                             static_cast<int>(decision));
}

}  // namespace

void request_times::OnDecision(const request_decision& decision,
                               absl::Time now) {
  recorder_->Add(CounterOf(decision.decision));
  switch (decision.decision) {
    case decision_kind::kQueued:
      Begin(decision.request, now);
      break;
    case decision_kind::kStarted:
      Start(decision.request, now);
      break;
    case decision_kind::kAnswered:
    case decision_kind::kNotRun:
    case decision_kind::kUnknown:
    case decision_kind::kRetried:
      End(decision.request, now);
      break;
    default:
      break;
  }
}

void request_times::Begin(uint64_t request, absl::Time now) {
  if (open_.size() < kMaxOpen) {
    open_[request] = {now, false};
  }
}

void request_times::Start(uint64_t request, absl::Time now) {
  const auto found = open_.find(request);
  if (found != open_.end() && !found->second.is_running) {
    recorder_->Record(metric::kTimeInQueue, now - found->second.since);
    found->second = {now, true};
  }
}

void request_times::End(uint64_t request, absl::Time now) {
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  if (found->second.is_running) {
    recorder_->Record(metric::kTimeAtUpstream, now - found->second.since);
  }
  open_.erase(found);
}

}  // namespace cardamomroute
