#ifndef CARDAMOMROUTE_CONTROL_SUBMISSION_OUTCOME_H_
#define CARDAMOMROUTE_CONTROL_SUBMISSION_OUTCOME_H_

#include <cstdint>
#include <optional>
#include <string>

#include "base/result.h"

namespace cardamomroute::control {

/// Outcome of a submitted text.
struct submission_outcome {
  /// Empty if the text was accepted.
  std::optional<error> refusal;
  /// Version and digest of the text in force right after the submission.
  uint64_t version = 0;
  std::string digest;

  bool Accepted() const { return !refusal.has_value(); }
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_SUBMISSION_OUTCOME_H_
