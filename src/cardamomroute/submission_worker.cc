#include "cardamomroute/submission_worker.h"

#include <utility>

#include "cardamomroute/steady_time.h"

namespace cardamomroute {

submission_worker::submission_worker() : thread_([this] { Run(); }) {}

submission_worker::~submission_worker() {
  {
    const std::lock_guard lock(mutex_);
    stopped_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

result<void> submission_worker::Begin(const std::string& client,
                                      const inner::operator_request& request) {
  {
    const std::lock_guard lock(mutex_);
    BOOST_OUTCOME_TRYV(queue_.Put(client, request, SteadyNow()));
  }
  changed_.notify_one();
  return boost::outcome_v2::success();
}

std::vector<checked_submission> submission_worker::TakeChecked() {
  const std::lock_guard lock(mutex_);
  checked_signal_.Clear();
  return std::exchange(checked_, {});
}

void submission_worker::Run() {
  while (auto next = WaitForNext()) {
    Deliver(CheckSubmission(std::move(next->client), next->request));
  }
}

// Nothing once the worker is to stop.
std::optional<submission_queue::submission> submission_worker::WaitForNext() {
  std::unique_lock lock(mutex_);
  std::optional<submission_queue::submission> next;
  while (!stopped_ && !next) {
    next = queue_.Take(SteadyNow());
    if (!next) {
      changed_.wait(lock);
    }
  }
  return stopped_ ? std::nullopt : std::move(next);
}

void submission_worker::Deliver(checked_submission done) {
  const std::lock_guard lock(mutex_);
  queue_.Finish(SteadyNow());
  checked_.push_back(std::move(done));
  checked_signal_.Raise();
}

}  // namespace cardamomroute
