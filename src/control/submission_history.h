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

/// Number of submissions whose outcome is kept; the oldest is evicted first.
/// Covers more than a day at 15,000 changes a day.
inline constexpr size_t kMaxRememberedSubmissions = 1 << 14;

/// Outcomes of recent submissions, by submission id. A submission that is sent
/// again gets its first outcome instead of being applied twice. Part of the
/// replicated state.
class submission_history {
 public:
  /// Returns the outcome of an earlier submission with the same id, or null if
  /// there is none. Fails with kSubmissionReused if that submission had another
  /// text or base.
  result<const submission_outcome*> Recall(
      const inner::submit_text& submission) const;

  /// Returns the outcome stored for this id, or null.
  const submission_outcome* Find(const std::string& id) const;

  /// Stores the outcome of a submission for which Recall returned null. Does
  /// nothing for a submission without an id.
  void Remember(const inner::submit_text& submission,
                const submission_outcome& outcome);

  /// Removes the outcomes of refused submissions.
  void ForgetRefusals();

  /// Appends the outcomes to `snapshot`, oldest first.
  void Save(inner::state_snapshot* snapshot) const;
  /// Replaces the content by the outcomes in `snapshot`.
  void Restore(const inner::state_snapshot& snapshot);

 private:
  struct content_hash {
    uint64_t low = 0;
    uint64_t high = 0;
  };
  struct stored_outcome {
    content_hash content;
    submission_outcome outcome;
  };

  static content_hash HashContent(const inner::submit_text& submission);
  void Add(const std::string& id, stored_outcome entry);

  absl::flat_hash_map<std::string, stored_outcome> by_id_;
  std::deque<std::string> insertion_order_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_SUBMISSION_HISTORY_H_
