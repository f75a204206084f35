#include "load/request_ledger.h"

#include <algorithm>
#include <numeric>

#include "absl/strings/str_cat.h"
#include "caller/coap_message.h"
#include "load/call_mix.h"

namespace cardamomroute::load {

request_ledger::request_ledger(const simulation_settings& settings,
                               absl::Time arrivals_end)
    : span_(settings.span),
      slots_(static_cast<int64_t>(settings.targets * settings.slots)),
      arrivals_end_(arrivals_end),
      work_by_target_(settings.targets, absl::ZeroDuration()) {}

size_t request_ledger::Add(const simulated_request& request) {
  requests_.push_back(request);
  return requests_.size() - 1;
}

void request_ledger::OnRun(size_t number, size_t target, absl::Duration work,
                           absl::Time now) {
  ++requests_[number].runs;
  if (now < arrivals_end_) {
    work_by_target_[target] += work;
  }
}

void request_ledger::OnRetry(size_t number) {
  false_not_run_ += requests_[number].runs > 0 ? 1 : 0;
}

void request_ledger::OnFinalAnswer(size_t number, const coap_message& answer,
                                   absl::Time now) {
  simulated_request& asked = requests_[number];
  asked.settled = true;
  if (answer.code == kServiceUnavailableCode) {
    asked.told_not_run = true;
    asked.runs_when_told = asked.runs;
  } else if (IsSuccess(answer)) {
    crossed_answers_ += answer.payload == absl::StrCat(number) ? 0 : 1;
    asked.answered = true;
    asked.answered_in_time = now <= asked.deadline;
    if (asked.answered_in_time && now < arrivals_end_) {
      useful_ += asked.run;
    }
  }
}

simulation_figures request_ledger::Figures() const {
  simulation_figures figures;
  figures.requests = requests_.size();
  figures.crossed_answers = crossed_answers_;
  figures.false_not_run = false_not_run_;
  for (const simulated_request& asked : requests_) {
    AddRequest(asked, &figures);
  }
  figures.imbalance = Imbalance();
  figures.useful_work = absl::FDivDuration(useful_, span_ * slots_);
  return figures;
}

void request_ledger::AddRequest(const simulated_request& request,
                                simulation_figures* figures) {
  const bool idempotent = SimulatedCalls()[request.kind].idempotent;
  const int counted = idempotent ? request.runs_when_told : request.runs;
  const bool told_unknown =
      request.settled && !request.told_not_run && !request.answered;
  figures->answered += request.answered_in_time ? 1 : 0;
  figures->not_run += request.told_not_run ? 1 : 0;
  figures->late += request.answered && !request.answered_in_time ? 1 : 0;
  figures->untold += request.settled ? 0 : 1;
  figures->unknown += told_unknown ? 1 : 0;
  figures->duplicate_runs += !idempotent && request.runs > 1 ? 1 : 0;
  figures->false_not_run += request.told_not_run && counted > 0 ? 1 : 0;
  figures->worth +=
      request.answered_in_time ? call_mix::WorthOf(request.kind) : 0;
}

double request_ledger::Imbalance() const {
  const absl::Duration total = std::accumulate(
      work_by_target_.begin(), work_by_target_.end(), absl::ZeroDuration());
  if (total == absl::ZeroDuration()) {
    return 0;
  }
  const absl::Duration most =
      *std::max_element(work_by_target_.begin(), work_by_target_.end());
  const auto mean = total / static_cast<int64_t>(work_by_target_.size());
  return absl::FDivDuration(most, mean);
}

}  // namespace cardamomroute::load
