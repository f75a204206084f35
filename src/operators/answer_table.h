#ifndef CARDAMOMROUTE_OPERATORS_ANSWER_TABLE_H_
#define CARDAMOMROUTE_OPERATORS_ANSWER_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/error_kind.h"
#include "operators/language.h"

namespace cardamomroute {

/// Answers that are no failures.
enum class success_kind : uint8_t {
  /// A text was checked and has no fault.
  kValid,
  /// A text is in the replicated log for good; nodes may not have it yet.
  kAccepted,
  /// Every node has the text.
  kInForce,
  /// A command was done or answered.
  kOk,
  /// A target is being drained.
  kDrainStarted,
  /// Recover was asked what it would do.
  kRecoverable,
  /// A new control group was written into a data folder.
  kRecovered,
};

constexpr size_t kSuccessCount = 7;

/// One text in all languages, in the order of `language`.
using localized_text = std::array<std::string_view, kLanguageCount>;

/// One row of the table of answers. Texts may name figures of an answer in
/// braces, for example "{version}"; see FillIn.
struct answer_row {
  std::string_view code;
  localized_text message;
  /// What the operator should do next.
  localized_text action;
};

/// Rows of all error kinds in the order of error_kind, then of all success
/// kinds in the order of success_kind.
extern const std::array<answer_row, 42 + kSuccessCount> kAnswerTable;

/// The row of an error or success.
const answer_row& AnswerOf(error_kind kind);
const answer_row& AnswerOf(success_kind kind);

/// The row with this code, or null.
const answer_row* FindAnswer(std::string_view code);

/// The stable code, for example "accepted".
std::string_view CodeOf(success_kind kind);

/// True for codes of successes.
bool IsSuccess(std::string_view code);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_ANSWER_TABLE_H_
