#include "cardamomroute/operator_commands.h"

#include <absl/time/time.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "cardamomroute/command_line.h"
#include "cardamomroute/control_answers.h"
#include "cardamomroute/show_answer.h"
#include "operators/answer.h"
#include "operators/control_link.h"
#include "operators/operator_client.h"
#include "operators/status_renderer.h"
#include "services/service_text.h"

namespace cardamomroute {
namespace {

/// How long a command looks for a control VM that can answer it.
constexpr absl::Duration kAnswerTimeout = absl::Seconds(10);

/// How long apply waits until an accepted text is in force.
constexpr absl::Duration kInForceTimeout = absl::Seconds(30);

/// How long status waits for a node.
constexpr absl::Duration kNodeTimeout = absl::Seconds(5);

constexpr absl::Duration kProgressPause = absl::Milliseconds(200);
constexpr int kIndent = 2;

/// One run of one command.
class operator_session {
 public:
  operator_session(const command_line& line,
                   const operator_environment& environment)
      : line_(line), environment_(environment) {
    if (!line.control.empty()) {
      client_.emplace(environment.link, line.control);
    }
  }

  int Run() {
    switch (line_.verb) {
      case command_verb::kCheck:
        return Check();
      case command_verb::kApply:
        return Apply();
      case command_verb::kShow:
        return Show();
      case command_verb::kDrain:
        return Drain();
      case command_verb::kStatus:
      case command_verb::kMembers:
        return Tables();
      default:
        return Show(MakeAnswer({error_kind::kUsage, "", "is no command"}));
    }
  }

 private:
  /// Prints one answer; gives back its exit status.
  int Show(const answer& shown) {
    return ShowAnswer(shown, line_, environment_.out, environment_.err);
  }

  /// Gives back the exit status of the first failure.
  int ShowAll(const std::vector<answer>& answers) {
    int status = 0;
    for (const answer& shown : answers) {
      const int one = Show(shown);
      status = status == 0 ? one : status;
    }
    return status;
  }

  int ShowFaults(const std::vector<error>& faults) {
    std::vector<answer> answers;
    answers.reserve(faults.size());
    for (const error& fault : faults) {
      answers.push_back(MakeAnswer(fault));
    }
    return ShowAll(answers);
  }

  /// The status of one balancer or agent.
  inner::operator_answer AskNode(const endpoint& node) {
    inner::operator_request request;
    request.set_command(std::string(NameOf(line_.verb)));
    const auto given = environment_.link.Ask(
        node, request, environment_.link.Now() + kNodeTimeout);
    if (given.has_value()) {
      return given.value();
    }
    // Nothing is changed by asking, whether the node heard it or not.
    error failure = given.error();
    if (failure.kind == error_kind::kOutcomeUnknown) {
      failure.kind = error_kind::kUnreachable;
    }
    return RefusalAnswer(failure);
  }

  inner::operator_answer Ask(const inner::operator_request& request) {
    return client_->Ask(request, environment_.link.Now() + kAnswerTimeout);
  }

  inner::operator_answer Ask(std::string_view command,
                             const std::string& argument = "") {
    inner::operator_request request;
    request.set_command(std::string(command));
    request.set_argument(argument);
    return Ask(request);
  }

  /// The text of the file, checked, as written.
  checked_result<std::string> ReadText() {
    result<std::string> text = ReadTextFile(line_.operand, kMaxServicesBytes);
    if (text.has_error()) {
      return std::vector<error>{text.error()};
    }
    auto parsed = ParseServices(line_.operand, text.value());
    if (parsed.has_error()) {
      return std::move(parsed).error();
    }
    digest_ = DigestOf(CanonicalForm(parsed.value()));
    return std::move(text).value();
  }

  int Check() {
    const checked_result<std::string> text = ReadText();
    if (text.has_error()) {
      return ShowFaults(text.error());
    }
    answer valid = MakeAnswer(success_kind::kValid);
    valid.place = line_.operand;
    valid.digest = digest_;
    return Show(valid);
  }

  int Apply() {
    checked_result<std::string> text = ReadText();
    if (text.has_error()) {
      return ShowFaults(text.error());
    }
    inner::operator_request request;
    request.set_command("apply");
    request.set_text(std::move(text).value());
    request.set_submission_id(line_.submission.empty()
                                  ? environment_.fresh_submission
                                  : line_.submission);
    if (!SetBase(request)) {
      return Show(failure_);
    }
    const inner::operator_answer given = Ask(request);
    if (given.faults_size() > 0) {
      return ShowAll(ToAnswers(given, line_.operand));
    }
    answer shown = ToAnswer(given);
    shown.submission = request.submission_id();
    if (shown.code == CodeOf(error_kind::kOutcomeUnknown)) {
      shown.detail = RepeatHint(request);
    }
    const int status = Show(shown);
    const bool accepted = shown.code == CodeOf(success_kind::kAccepted);
    return accepted && line_.wait ? WaitUntilInForce(shown) : status;
  }

  /// Sets the base that the operator named, or else the text in force now.
  /// False, with `failure_` set, when that cannot be found out.
  bool SetBase(inner::operator_request& request) {
    if (line_.base) {
      request.set_base_version(line_.base->version);
      request.set_base_digest(line_.base->digest);
      return true;
    }
    const inner::operator_answer present = Ask("show");
    request.set_base_version(present.version());
    request.set_base_digest(present.digest());
    failure_ = ToAnswer(present);
    return IsSuccess(present.code());
  }

  /// The options that make apply repeat this very submission.
  static std::string RepeatHint(const inner::operator_request& request) {
    return Concat("--base ", request.base_version(), ":", request.base_digest(),
                  " --submission ", request.submission_id());
  }

  /// Watches how many nodes have the accepted version.
  int WaitUntilInForce(const answer& accepted) {
    const absl::Time start = environment_.link.Now();
    answer progress = accepted;
    uint64_t shown_nodes = 0;
    while (environment_.link.Now() < start + kInForceTimeout) {
      if (ReadProgress(accepted, progress)) {
        return Show(progress);
      }
      if (!line_.json && progress.nodes_in_force != shown_nodes) {
        shown_nodes = progress.nodes_in_force;
        environment_.err << shown_nodes << "/" << progress.nodes << "\n";
      }
      environment_.link.Pause(kProgressPause);
    }
    progress.code = CodeOf(error_kind::kNotInForce);
    progress.seconds = static_cast<uint64_t>(
        absl::ToInt64Seconds(environment_.link.Now() - start));
    return Show(progress);
  }

  /// Updates the counts of nodes. True when there is nothing more to wait for,
  /// with the code set: every node has the version, or the group was recovered
  /// and does not know it.
  bool ReadProgress(const answer& accepted, answer& progress) {
    const inner::operator_answer given =
        Ask("status", std::to_string(accepted.version));
    if (given.code() == CodeOf(error_kind::kOutcomeLost)) {
      progress.code = given.code();
      return true;
    }
    if (!IsSuccess(given.code())) {
      return false;
    }
    progress.nodes_in_force = given.nodes_in_force();
    progress.nodes = given.nodes();
    progress.code = CodeOf(success_kind::kInForce);
    return progress.nodes_in_force >= progress.nodes;
  }

  int Show() {
    const inner::operator_answer given = Ask("show");
    answer shown = ToAnswer(given);
    if (!IsSuccess(given.code())) {
      return Show(shown);
    }
    auto text = nlohmann::json::parse(given.text(), nullptr, false);
    if (line_.json) {
      auto object = nlohmann::json::parse(RenderJson(shown, line_.answers));
      // Before the first text there is none.
      object["text"] = text.is_discarded() ? nullptr : std::move(text);
      environment_.out << object.dump() << "\n";
    } else {
      environment_.err << given.version() << ":" << given.digest() << "\n";
      environment_.out << (text.is_discarded() ? given.text()
                                               : text.dump(kIndent))
                       << "\n";
    }
    return 0;
  }

  int Drain() {
    answer shown = ToAnswer(Ask("drain", line_.operand));
    if (shown.place.empty()) {
      shown.place = line_.operand;
    }
    if (shown.code == CodeOf(success_kind::kOk)) {
      shown.code = CodeOf(success_kind::kDrainStarted);
    }
    return Show(shown);
  }

  int Tables() {
    const inner::operator_answer given =
        line_.node ? AskNode(*line_.node) : Ask(NameOf(line_.verb));
    if (!IsSuccess(given.code())) {
      return Show(ToAnswer(given));
    }
    const auto status = nlohmann::ordered_json::parse(
        given.status_json(), nullptr, /*allow_exceptions=*/false);
    if (status.is_discarded()) {
      return Show(MakeAnswer({error_kind::kMalformedMessage, "", ""}));
    }
    environment_.out << (line_.json ? status.dump() + "\n"
                                    : RenderTables(status, line_.answers));
    return 0;
  }

  const command_line& line_;
  const operator_environment& environment_;
  std::optional<operator_client> client_;
  std::string digest_;
  answer failure_;
};

}  // namespace

int RunOperatorCommand(const command_line& line,
                       const operator_environment& environment) {
  return operator_session(line, environment).Run();
}

}  // namespace cardamomroute
