#ifndef CARDAMOMROUTE_OPERATORS_ANSWER_H_
#define CARDAMOMROUTE_OPERATORS_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "operators/answer_table.h"

namespace cardamomroute {

/// One answer to an operator, before it is put into words.
struct answer {
  /// Code of an error or success kind.
  std::string code;
  /// "FILE:LINE:COLUMN", a name, an address; may be empty.
  std::string place;
  /// In English; may be empty.
  std::string detail;
  uint64_t version = 0;
  std::string digest;
  std::string submission;
  /// What recover wants to be given with --confirm.
  std::string confirm;
  uint64_t nodes_in_force = 0;
  uint64_t nodes = 0;
  /// How long was waited, or is to be waited.
  uint64_t seconds = 0;
};

/// The answer for a failure or success, without figures.
answer MakeAnswer(const error& failure);
answer MakeAnswer(success_kind kind);

/// Exit status of the command that ends with this answer: 0 for successes.
/// For an unknown code, as for an unknown outcome.
int ExitStatusOf(std::string_view code);

/// `pattern` with each "{figure}" replaced by that of `figures`. Figures:
/// version, digest, submission, confirm, nodes_in_force, nodes, seconds.
std::string FillIn(std::string_view pattern, const answer& figures);

/// The answer for people: place, code and message on the first line, then
/// detail and what to do, each on a line of its own. Ends in LF. A code that
/// is not in the table, as from a newer control VM, is shown by itself.
std::string RenderText(const answer& shown, language wanted);

/// The answer for programs: one JSON object on one line that ends in LF, with
/// the members code, effect ("done", "refused", "try-later", "unknown"),
/// message, action, place, line, column, detail and the figures. Line and
/// column are 0 where the place has none.
std::string RenderJson(const answer& shown, language wanted);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_ANSWER_H_
