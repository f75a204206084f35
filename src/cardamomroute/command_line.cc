#include "cardamomroute/command_line.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <getopt.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "base/concat.h"
#include "cardamomroute/command_line_help.h"

namespace cardamomroute {
namespace {

constexpr size_t kDigestDigits = 64;
constexpr size_t kMaxSubmissionLength = 64;

/// What getopt_long returns for each option.
enum option_code : uint8_t {
  kSettings,
  kControlAddresses,
  kNode,
  kBase,
  kSubmission,
  kWait,
  kNoWait,
  kConfirm,
  kJson,
  kLanguage,
  kHelpOption,
  kVersionOption,
};

constexpr uint32_t Bit(option_code code) { return uint32_t{1} << code; }

constexpr uint32_t kEverywhere =
    Bit(kJson) | Bit(kLanguage) | Bit(kHelpOption) | Bit(kVersionOption);

struct verb_row {
  std::string_view name;
  command_verb verb;
  uint32_t allowed;
  uint32_t needed;
  /// Name of the one operand; empty for none.
  std::string_view operand;
};

constexpr std::array<verb_row, 10> kVerbs = {{
    {"control", command_verb::kControl, Bit(kSettings), Bit(kSettings), ""},
    {"balancer", command_verb::kBalancer, Bit(kSettings), Bit(kSettings), ""},
    {"agent", command_verb::kAgent, Bit(kSettings), Bit(kSettings), ""},
    {"check", command_verb::kCheck, 0, 0, "FILE"},
    {"apply", command_verb::kApply,
     Bit(kControlAddresses) | Bit(kBase) | Bit(kSubmission) | Bit(kWait) |
         Bit(kNoWait),
     Bit(kControlAddresses), "FILE"},
    {"show", command_verb::kShow, Bit(kControlAddresses),
     Bit(kControlAddresses), ""},
    {"status", command_verb::kStatus, Bit(kControlAddresses) | Bit(kNode), 0,
     ""},
    {"drain", command_verb::kDrain, Bit(kControlAddresses),
     Bit(kControlAddresses), "TARGET"},
    {"members", command_verb::kMembers, Bit(kControlAddresses),
     Bit(kControlAddresses), ""},
    {"recover", command_verb::kRecover, Bit(kSettings) | Bit(kConfirm),
     Bit(kSettings), ""},
}};

constexpr std::array<option, 13> kOptions = {{
    {"settings", required_argument, nullptr, kSettings},
    {"control", required_argument, nullptr, kControlAddresses},
    {"node", required_argument, nullptr, kNode},
    {"base", required_argument, nullptr, kBase},
    {"submission", required_argument, nullptr, kSubmission},
    {"wait", no_argument, nullptr, kWait},
    {"no-wait", no_argument, nullptr, kNoWait},
    {"confirm", required_argument, nullptr, kConfirm},
    {"json", no_argument, nullptr, kJson},
    {"language", required_argument, nullptr, kLanguage},
    {"help", no_argument, nullptr, kHelpOption},
    {"version", no_argument, nullptr, kVersionOption},
    {nullptr, 0, nullptr, 0},
}};

error Usage(std::string_view place, std::string_view detail) {
  return {error_kind::kUsage, std::string(place), std::string(detail)};
}

bool IsOption(std::string_view name) {
  return std::any_of(kOptions.begin(), kOptions.end(), [name](const option& o) {
    return o.name != nullptr && o.name == name;
  });
}

result<void> ReadSettings(const char* value, command_line& line) {
  line.settings_path = value;
  if (line.settings_path.empty()) {
    return Usage("--settings", "the name of the file is empty");
  }
  return boost::outcome_v2::success();
}

result<endpoint> ReadAddress(std::string_view option, const std::string& text) {
  result<endpoint> address = ParseEndpoint(text);
  if (address.has_error() || address.value().port == 0) {
    return Usage(option, Concat("\"", text, "\" is not IP:PORT"));
  }
  return address;
}

result<void> ReadControl(const char* value, command_line& line) {
  for (const std::string& one :
       std::vector<std::string>(absl::StrSplit(value, ','))) {
    BOOST_OUTCOME_TRY(address, ReadAddress("--control", one));
    line.control.push_back(address);
  }
  return boost::outcome_v2::success();
}

result<void> ReadNode(const char* value, command_line& line) {
  BOOST_OUTCOME_TRY(address, ReadAddress("--node", value));
  line.node = address;
  return boost::outcome_v2::success();
}

result<void> ReadBase(const char* value, command_line& line) {
  const std::vector<std::string> parts = absl::StrSplit(value, ':');
  text_base base;
  const bool has_version = absl::SimpleAtoi(parts[0], &base.version);
  base.digest = parts.size() == 2 ? parts[1] : "";
  const bool hexadecimal =
      base.digest.find_first_not_of("0123456789abcdef") == std::string::npos;
  const size_t digits = base.version == 0 ? 0 : kDigestDigits;
  if (!has_version || parts.size() > 2 || !hexadecimal ||
      base.digest.size() != digits) {
    return Usage("--base", Concat("\"", value, "\" is not VERSION:DIGEST"));
  }
  line.base = std::move(base);
  return boost::outcome_v2::success();
}

result<void> ReadSubmission(const char* value, command_line& line) {
  constexpr const char* kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  line.submission = value;
  if (line.submission.empty() ||
      line.submission.size() > kMaxSubmissionLength ||
      line.submission.find_first_not_of(kAllowed) != std::string::npos) {
    return Usage("--submission", Concat("an id has 1 to ", kMaxSubmissionLength,
                                        " letters, digits and . _ -"));
  }
  return boost::outcome_v2::success();
}

result<void> ReadConfirm(const char* value, command_line& line) {
  line.confirm = value;
  if (line.confirm.empty()) {
    return Usage("--confirm", "the option needs a value");
  }
  return boost::outcome_v2::success();
}

result<void> ReadLanguage(const char* value, command_line& line) {
  const std::optional<language> wanted = FindLanguage(value);
  if (!wanted) {
    return Usage("--language", Concat("\"", value, "\" is not cs, ja or en"));
  }
  line.answers = *wanted;
  return boost::outcome_v2::success();
}

template <bool command_line::*Member, bool Value>
result<void> SetFlag(const char* /*value*/, command_line& line) {
  line.*Member = Value;
  return boost::outcome_v2::success();
}

result<void> Ignore(const char* /*value*/, command_line& /*line*/) {
  return boost::outcome_v2::success();
}

using option_reader = result<void> (*)(const char*, command_line&);

/// In the order of option_code.
constexpr std::array<option_reader, 12> kReaders = {
    &ReadSettings,
    &ReadControl,
    &ReadNode,
    &ReadBase,
    &ReadSubmission,
    &SetFlag<&command_line::wait, true>,
    &SetFlag<&command_line::wait, false>,
    &ReadConfirm,
    &SetFlag<&command_line::json, true>,
    &ReadLanguage,
    &Ignore,
    &Ignore};

/// getopt_long takes any beginning of an option's name; this does not.
result<void> RefuseUnknownOptions(const std::vector<std::string>& arguments) {
  for (size_t i = 1; i < arguments.size() && arguments[i] != "--"; ++i) {
    const std::string& argument = arguments[i];
    if (argument.rfind("--", 0) == 0) {
      const std::string name = argument.substr(2, argument.find('=') - 2);
      if (!IsOption(name)) {
        return Usage(argument, "there is no such option");
      }
    }
  }
  return boost::outcome_v2::success();
}

/// Reads all options into `line`; gives back which were set. `arguments` is
/// reordered so that optind points to the first operand.
result<uint32_t> ReadOptions(std::vector<char*>& arguments,
                             command_line& line) {
  uint32_t seen = 0;
  optind = 0;
  opterr = 0;
  const auto count = static_cast<int>(arguments.size());
  while (true) {
    const int code =
        getopt_long(count, arguments.data(), ":", kOptions.data(), nullptr);
    if (code == -1) {
      return seen;
    }
    const std::string argument = arguments[static_cast<size_t>(optind) - 1];
    if (code == '?' || code == ':') {
      return Usage(argument, code == ':' ? "the option needs a value"
                                         : "the option cannot be read");
    }
    const auto option = static_cast<option_code>(code);
    if ((seen & Bit(option)) != 0) {
      return Usage(argument, "the option stands twice");
    }
    seen |= Bit(option);
    BOOST_OUTCOME_TRYV(kReaders.at(option)(optarg, line));
  }
}

result<void> CheckOptions(const verb_row& row, uint32_t seen) {
  for (const option& known : kOptions) {
    if (known.name == nullptr) {
      break;
    }
    const uint32_t bit = uint32_t{1} << static_cast<unsigned>(known.val);
    if ((seen & bit) != 0 && ((row.allowed | kEverywhere) & bit) == 0) {
      return Usage(Concat("--", known.name),
                   Concat("does not belong to ", row.name));
    }
    if ((row.needed & bit) != 0 && (seen & bit) == 0) {
      return Usage(row.name, Concat("--", known.name, " is missing"));
    }
  }
  if ((seen & Bit(kWait)) != 0 && (seen & Bit(kNoWait)) != 0) {
    return Usage("--no-wait", "stands beside --wait");
  }
  if ((seen & Bit(kControlAddresses)) != 0 && (seen & Bit(kNode)) != 0) {
    return Usage("--node", "stands beside --control");
  }
  if (row.verb == command_verb::kStatus &&
      (seen & (Bit(kControlAddresses) | Bit(kNode))) == 0) {
    return Usage(row.name, "--control is missing");
  }
  return boost::outcome_v2::success();
}

result<void> ReadOperands(const std::vector<std::string>& operands,
                          uint32_t seen, command_line& line) {
  if (operands.empty()) {
    return Usage("", "a command is missing");
  }
  const auto* const row = std::find_if(
      kVerbs.begin(), kVerbs.end(),
      [&](const verb_row& known) { return known.name == operands[0]; });
  if (row == kVerbs.end()) {
    return Usage(operands[0], "there is no such command");
  }
  line.verb = row->verb;
  BOOST_OUTCOME_TRYV(CheckOptions(*row, seen));
  const size_t wanted = row->operand.empty() ? 1 : 2;
  if (operands.size() < wanted) {
    return Usage(row->name, Concat(row->operand, " is missing"));
  }
  if (operands.size() > wanted) {
    return Usage(operands[wanted], "is one argument too many");
  }
  line.operand = wanted == 2 ? operands[1] : "";
  if (wanted == 2 && line.operand.empty()) {
    return Usage(row->name, Concat(row->operand, " is empty"));
  }
  return boost::outcome_v2::success();
}

}  // namespace

result<command_line> ParseCommandLine(int argc, const char* const* argv) {
  std::vector<std::string> words(argv, argv + argc);
  BOOST_OUTCOME_TRYV(RefuseUnknownOptions(words));
  std::vector<char*> arguments;
  arguments.reserve(words.size() + 1);
  for (std::string& word : words) {
    arguments.push_back(word.data());
  }
  command_line line;
  BOOST_OUTCOME_TRY(seen, ReadOptions(arguments, line));
  if ((seen & Bit(kHelpOption)) != 0) {
    line.verb = command_verb::kHelp;
    return line;
  }
  if ((seen & Bit(kVersionOption)) != 0) {
    line.verb = command_verb::kVersion;
    return line;
  }
  const std::vector<std::string> operands(arguments.begin() + optind,
                                          arguments.end());
  BOOST_OUTCOME_TRYV(ReadOperands(operands, seen, line));
  return line;
}

language RequestedLanguage(int argc, const char* const* argv) {
  constexpr std::string_view kOption = "--language";
  for (int i = 1; i < argc; ++i) {
    std::string_view word = argv[i];
    if (word.substr(0, kOption.size()) != kOption) {
      continue;
    }
    word.remove_prefix(kOption.size());
    if (word.empty() && i + 1 < argc) {
      word = argv[i + 1];
    } else if (!word.empty()) {
      word.remove_prefix(1);
    }
    return FindLanguage(word).value_or(language::kEn);
  }
  return language::kEn;
}

std::string_view NameOf(command_verb verb) {
  for (const verb_row& row : kVerbs) {
    if (row.verb == verb) {
      return row.name;
    }
  }
  return verb == command_verb::kHelp ? "--help" : "--version";
}

std::string HelpText(language wanted) {
  std::string text = "cardamomroute\n\n";
  for (const help_row& row : kHelpTable) {
    text += Concat("  ", row.usage, "\n      ",
                   row.meaning.at(static_cast<size_t>(wanted)), "\n");
  }
  return text;
}

}  // namespace cardamomroute
