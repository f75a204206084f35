#ifndef CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_COMMANDS_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_COMMANDS_H_

#include <iosfwd>
#include <string>

namespace cardamomroute {

class control_link;
struct command_line;

/// What an operators' command works with.
struct operator_environment {
  control_link& link;
  /// Answers; as JSON also the failures.
  std::ostream& out;
  /// Failures and progress for people.
  std::ostream& err;
  /// Identifies the submission of apply when the command line names none.
  std::string fresh_submission;
};

/// Runs one of check, apply, show, status, drain and members. Gives back the
/// exit status of the program: that of the error table for the first failure,
/// 0 when there was none. Requests to the control VMs: "show", "status" and
/// "members" without arguments; "drain" with the target as argument; "apply"
/// with text, base and submission id; "status" with a version as argument,
/// whose answer counts the nodes that have this version or a newer one.
int RunOperatorCommand(const command_line& line,
                       const operator_environment& environment);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_COMMANDS_H_
