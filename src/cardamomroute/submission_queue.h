#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_QUEUE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_QUEUE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

#include "absl/time/time.h"
#include "base/result.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// Texts and bytes that wait at most, besides the text that is being checked.
/// One text waits whatever its size.
inline constexpr size_t kMaxWaitingTexts = 32;
inline constexpr size_t kMaxWaitingBytes = size_t{16} << 20;

/// Operators' texts in the order in which they are to be checked. It has no
/// thread and no clock.
class submission_queue {
 public:
  struct submission {
    std::string client;
    inner::operator_request request;
  };

  submission_queue();

  /// Takes a text. Fails with kBusy, and says in how many milliseconds to ask
  /// again, where it would make too much wait.
  result<void> Put(const std::string& client,
                   const inner::operator_request& request, absl::Time now);

  /// The text that came first, to be checked from `now` on; nothing where none
  /// waits. The one before it is finished.
  std::optional<submission> Take(absl::Time now);

  /// The text that was taken last has been checked.
  void Finish(absl::Time now);

  /// When all that is here is expected to have been checked, by the rate at
  /// which the texts before were.
  absl::Time DoneAt(absl::Time now) const;

 private:
  absl::Duration TimeFor(size_t bytes) const;

  std::deque<submission> waiting_;
  size_t waiting_bytes_ = 0;
  /// Of the text that is being checked; 0 where none is.
  size_t begun_bytes_ = 0;
  absl::Time begun_at_;
  double bytes_per_second_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_QUEUE_H_
