#include "operators/answer.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <array>
#include <nlohmann/json.hpp>
#include <vector>

#include "base/concat.h"
#include "operators/detail_phrases.h"

namespace cardamomroute {
namespace {

/// Exit status where it cannot be told what happened.
constexpr int kExitUnknown = 5;

constexpr std::array<std::string_view, 3> kEffectNames = {
    "refused", "try-later", "unknown"};

/// How a figure is written into a message.
struct figure {
  std::string_view name;
  std::string (*write)(const answer&);
};

constexpr std::array<figure, 7> kFigures = {{
    {"version", [](const answer& a) { return std::to_string(a.version); }},
    {"digest", [](const answer& a) { return a.digest; }},
    {"submission", [](const answer& a) { return a.submission; }},
    {"confirm", [](const answer& a) { return a.confirm; }},
    {"nodes_in_force",
     [](const answer& a) { return std::to_string(a.nodes_in_force); }},
    {"nodes", [](const answer& a) { return std::to_string(a.nodes); }},
    {"seconds", [](const answer& a) { return std::to_string(a.seconds); }},
}};

const error_row* FindErrorRow(std::string_view code) {
  for (const error_row& row : kErrorTable) {
    if (row.code == code) {
      return &row;
    }
  }
  return nullptr;
}

std::string_view EffectOf(std::string_view code) {
  if (IsSuccess(code)) {
    return "done";
  }
  const error_row* row = FindErrorRow(code);
  const error_effect effect =
      row == nullptr ? error_effect::kUnknown : row->effect;
  return kEffectNames.at(static_cast<size_t>(effect));
}

/// Line and column at the end of a place; 0 and 0 where it has none.
std::array<uint64_t, 2> PositionIn(const std::string& place) {
  const std::vector<std::string> parts = absl::StrSplit(place, ':');
  uint64_t line = 0;
  uint64_t column = 0;
  if (parts.size() < 3 || !absl::SimpleAtoi(parts[parts.size() - 2], &line) ||
      !absl::SimpleAtoi(parts.back(), &column)) {
    return {0, 0};
  }
  return {line, column};
}

std::string Localized(const localized_text& text, language wanted,
                      const answer& figures) {
  return FillIn(text.at(static_cast<size_t>(wanted)), figures);
}

}  // namespace

answer MakeAnswer(const error& failure) {
  answer made;
  made.code = CodeOf(failure.kind);
  made.place = failure.place;
  made.detail = failure.detail;
  return made;
}

answer MakeAnswer(success_kind kind) {
  answer made;
  made.code = CodeOf(kind);
  return made;
}

int ExitStatusOf(std::string_view code) {
  if (IsSuccess(code)) {
    return 0;
  }
  const error_row* row = FindErrorRow(code);
  return row == nullptr ? kExitUnknown : row->exit_status;
}

std::string FillIn(std::string_view pattern, const answer& figures) {
  std::string filled;
  size_t at = 0;
  while (at < pattern.size()) {
    const size_t open = pattern.find('{', at);
    const size_t close = pattern.find('}', open);
    if (close == std::string_view::npos) {
      break;
    }
    filled.append(pattern.substr(at, open - at));
    const std::string_view name = pattern.substr(open + 1, close - open - 1);
    for (const figure& known : kFigures) {
      filled += known.name == name ? known.write(figures) : std::string();
    }
    at = close + 1;
  }
  return filled.append(pattern.substr(at));
}

std::string RenderText(const answer& shown, language wanted) {
  const answer_row* row = FindAnswer(shown.code);
  std::string text =
      shown.place.empty() ? shown.code : Concat(shown.place, ": ", shown.code);
  if (row != nullptr) {
    text += Concat(": ", Localized(row->message, wanted, shown));
  }
  text += "\n";
  if (!shown.detail.empty()) {
    text += Concat("  ", LocalizeDetail(shown.detail, wanted), "\n");
  }
  if (row != nullptr) {
    text += Concat("  -> ", Localized(row->action, wanted, shown), "\n");
  }
  return text;
}

std::string RenderJson(const answer& shown, language wanted) {
  const answer_row* row = FindAnswer(shown.code);
  const std::array<uint64_t, 2> position = PositionIn(shown.place);
  nlohmann::json object = {
      {"code", shown.code},
      {"effect", EffectOf(shown.code)},
      {"place", shown.place},
      {"line", position[0]},
      {"column", position[1]},
      {"detail", LocalizeDetail(shown.detail, wanted)},
      {"version", shown.version},
      {"digest", shown.digest},
      {"submission", shown.submission},
      {"confirm", shown.confirm},
      {"nodes_in_force", shown.nodes_in_force},
      {"nodes", shown.nodes},
      {"seconds", shown.seconds},
  };
  if (row != nullptr) {
    object["message"] = Localized(row->message, wanted, shown);
    object["action"] = Localized(row->action, wanted, shown);
  }
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
         "\n";
}

}  // namespace cardamomroute
