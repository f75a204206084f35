#include "cardamomroute/program.h"

#include <sodium.h>

#include <array>
#include <cstdio>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "base/log.h"
#include "base/settings_loader.h"
#include "cardamomroute/command_line.h"
#include "cardamomroute/node_shell.h"
#include "cardamomroute/operator_commands.h"
#include "cardamomroute/recover_command.h"
#include "cardamomroute/zmq_control_link.h"
#include "control/file_system_posix.h"
#include "operators/answer.h"

namespace cardamomroute {
namespace {

constexpr std::string_view kVersionLine = "cardamomroute 0.1.0\n";
constexpr size_t kSubmissionBytes = 16;

int Report(const error& failure, language wanted) {
  std::cerr << RenderText(MakeAnswer(failure), wanted);
  return RowOf(failure.kind).exit_status;
}

int ReportAll(const std::vector<error>& failures, language wanted) {
  for (const error& failure : failures) {
    Report(failure, wanted);
  }
  return RowOf(failures.front().kind).exit_status;
}

int RunRole(const command_line& line, result<void> (*run)(const settings&)) {
  const auto loaded = LoadSettings(line.settings_path, NameOf(line.verb));
  if (loaded.has_error()) {
    return ReportAll(loaded.error(), line.answers);
  }
  const auto logging = ConfigureLogging(loaded.value().log);
  if (logging.has_error()) {
    return Report(logging.error(), line.answers);
  }
  const auto done = run(loaded.value());
  StopLogging();
  return done.has_error() ? Report(done.error(), line.answers) : 0;
}

int RunControlRole(const command_line& line) {
  return RunRole(line, &RunControl);
}

int RunBalancerRole(const command_line& line) {
  return RunRole(line, &RunBalancer);
}

int RunAgentRole(const command_line& line) { return RunRole(line, &RunAgent); }

std::string FreshSubmission() {
  std::array<unsigned char, kSubmissionBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::string text(2 * bytes.size() + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

int RunOperators(const command_line& line) {
  zmq_control_link link;
  return RunOperatorCommand(line,
                            {link, std::cout, std::cerr, FreshSubmission()});
}

int RunRecovery(const command_line& line) {
  const auto loaded =
      LoadSettings(line.settings_path, NameOf(command_verb::kControl));
  if (loaded.has_error()) {
    return ReportAll(loaded.error(), line.answers);
  }
  control::posix_file_system files;
  uint64_t random = 0;
  randombytes_buf(&random, sizeof(random));
  return RunRecoverCommand(line, loaded.value().control.data_folder,
                           {files, std::cout, std::cerr, random});
}

int PrintHelp(const command_line& line) {
  std::cout << HelpText(line.answers);
  return 0;
}

int PrintVersion(const command_line& /*line*/) {
  std::cout << kVersionLine;
  return 0;
}

using verb_handler = int (*)(const command_line& line);

// In the order of command_verb.
constexpr std::array<verb_handler, 12> kHandlers = {
    &RunControlRole, &RunBalancerRole, &RunAgentRole, &RunOperators,
    &RunOperators,   &RunOperators,    &RunOperators, &RunOperators,
    &RunOperators,   &RunRecovery,     &PrintHelp,    &PrintVersion,
};

}  // namespace

int RunProgram(int argc, char** argv) {
  const auto line = ParseCommandLine(argc, argv);
  if (line.has_error()) {
    return Report(line.error(), RequestedLanguage(argc, argv));
  }
  return kHandlers.at(static_cast<size_t>(line.value().verb))(line.value());
}

}  // namespace cardamomroute
