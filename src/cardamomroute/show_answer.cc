#include "cardamomroute/show_answer.h"

#include <ostream>

#include "cardamomroute/command_line.h"
#include "operators/answer.h"
#include "operators/answer_table.h"

namespace cardamomroute {

int ShowAnswer(const answer& shown, const command_line& line, std::ostream& out,
               std::ostream& err) {
  if (line.json) {
    out << RenderJson(shown, line.answers);
  } else {
    (IsSuccess(shown.code) ? out : err) << RenderText(shown, line.answers);
  }
  return ExitStatusOf(shown.code);
}

}  // namespace cardamomroute
