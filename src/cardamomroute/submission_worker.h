#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_WORKER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_WORKER_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "cardamomroute/checked_submission.h"
#include "cardamomroute/submission_checker.h"
#include "cardamomroute/submission_queue.h"
#include "cardamomroute/wake_signal.h"

namespace cardamomroute {

/// A thread that reads and checks operators' texts, one after the other.
class submission_worker : public submission_checker {
 public:
  submission_worker();
  submission_worker(const submission_worker&) = delete;
  submission_worker& operator=(const submission_worker&) = delete;
  /// Waits for the text that is being checked; those behind it are dropped.
  ~submission_worker() override;

  result<void> Begin(const std::string& client,
                     const inner::operator_request& request) override;

  /// Readable while TakeChecked has something to give.
  int fd() const { return checked_signal_.fd(); }

  /// All that has been checked since the last call, oldest first.
  std::vector<checked_submission> TakeChecked();

 private:
  void Run();
  std::optional<submission_queue::submission> WaitForNext();
  void Deliver(checked_submission done);

  wake_signal checked_signal_;
  /// Not absl::Mutex: the thread sanitizer does not see the locks of a library
  /// that was built without it.
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
  submission_queue queue_ ABSL_GUARDED_BY(mutex_);
  std::vector<checked_submission> checked_ ABSL_GUARDED_BY(mutex_);
  /// Last, so that all it uses is there before it runs.
  std::thread thread_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_WORKER_H_
