#ifndef CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "operators/language.h"

namespace cardamomroute {

/// What the program is asked to do.
enum class command_verb : uint8_t {
  kControl,
  kBalancer,
  kAgent,
  kCheck,
  kApply,
  kShow,
  kStatus,
  kDrain,
  kMembers,
  kRecover,
  kHelp,
  kVersion,
};

/// The text that a submission replaces.
struct text_base {
  uint64_t version = 0;
  /// Empty for version 0.
  std::string digest;
};

/// One command line, checked.
struct command_line {
  command_verb verb = command_verb::kHelp;
  /// FILE of check and apply, TARGET of drain, else empty.
  std::string operand;
  /// --settings of the roles and of recover.
  std::string settings_path;
  /// --control of the commands that ask control VMs.
  std::vector<endpoint> control;
  /// --node of status; asked instead of control VMs.
  std::optional<endpoint> node;
  /// --base of apply.
  std::optional<text_base> base;
  /// --submission of apply; empty when the command is to choose one.
  std::string submission;
  /// --confirm of recover; empty when it is only to tell.
  std::string confirm;
  /// Apply returns when the text is in force, not when it is accepted.
  bool wait = true;
  bool json = false;
  language answers = language::kEn;
};

/// Reads the arguments of the program, the first being its name. Fails with
/// kUsage for unknown, abbreviated, repeated or misplaced options, stray or
/// missing arguments, and values that cannot be read. Uses getopt_long, which
/// keeps state of its own: one thread at a time.
result<command_line> ParseCommandLine(int argc, const char* const* argv);

/// The language that the arguments ask for, also where they are not valid
/// otherwise; English when they name none.
language RequestedLanguage(int argc, const char* const* argv);

/// The name of a verb, for example "apply".
std::string_view NameOf(command_verb verb);

/// What --help prints.
std::string HelpText(language wanted);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_COMMAND_LINE_H_
