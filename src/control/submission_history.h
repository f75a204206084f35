#ifndef CARDAMOMROUTE_CONTROL_SUBMISSION_HISTORY_H_
#define CARDAMOMROUTE_CONTROL_SUBMISSION_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "base/result.h"
#include "control/submission_outcome.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// Submissions whose outcome is remembered; an older one is forgotten first.
/// At 15,000 changes a day that is more than a day.
inline constexpr size_t kMaxRememberedSubmissions = 1 << 14;

/// Gives a submission that comes again the outcome that it had, as part of the
/// replicated state.
class submission_history {
 public:
  /// The outcome of an earlier submission with the same id; null where none
  /// is remembered. Fails with kSubmissionReused where the id came with
  /// another text or base.
  result<const submission_outcome*> Recall(
      const inner::submit_text& submission) const;

  /// The outcome under this id, or null.
  const submission_outcome* Find(const std::string& id) const;

  /// Remembers the outcome of a submission that Recall did not know. One
  /// without an id is not remembered.
  void Remember(const inner::submit_text& submission,
                const submission_outcome& outcome);

  /// Forgets which submissions were refused.
  void ForgetRefusals();

  void Save(inner::state_snapshot* snapshot) const;
  void Restore(const inner::state_snapshot& snapshot);

 private:
  struct content_hash {
    uint64_t low = 0;
    uint64_t high = 0;
  };
  struct remembered {
    content_hash content;
    submission_outcome outcome;
  };

  static content_hash HashOf(const inner::submit_text& submission);
  void Add(const std::string& id, remembered entry);

  absl::flat_hash_map<std::string, remembered> by_id_;
  std::deque<std::string> by_age_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_SUBMISSION_HISTORY_H_
