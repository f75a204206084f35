#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SHOW_ANSWER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SHOW_ANSWER_H_

#include <iosfwd>

namespace cardamomroute {

struct answer;
struct command_line;

/// Prints the answer of a command in the form that its command line asks for:
/// successes to `out`, failures to `err`, as JSON everything to `out`. Gives
/// back the exit status of the program.
int ShowAnswer(const answer& shown, const command_line& line, std::ostream& out,
               std::ostream& err);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SHOW_ANSWER_H_
