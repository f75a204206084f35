#include "base/log_format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cardamomroute::internal {
namespace {

/// True for characters that stand for themselves, in and out of quotes.
bool IsPlain(char character) {
  return character > ' ' && character < '\x7f' && character != '"' &&
         character != '\\' && character != '=';
}

bool IsPlainWord(std::string_view value) {
  return !value.empty() && std::all_of(value.begin(), value.end(), IsPlain);
}

}  // namespace

std::string QuotedText(std::string_view value) {
  return nlohmann::json(value).dump(-1, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

void AppendWord(std::string& line, bool json, std::string_view key,
                std::string_view word) {
  if (json) {
    line.append(line.empty() ? "\"" : ",\"").append(key).append("\":");
  } else {
    line.append(line.empty() ? "" : " ").append(key).append("=");
  }
  line.append(word);
}

void AppendText(std::string& line, bool json, std::string_view key,
                std::string_view value) {
  const bool plain = IsPlainWord(value);
  if (plain && !json) {
    AppendWord(line, json, key, value);
  } else if (plain) {
    AppendWord(line, json, key, "\"");
    line.append(value).append("\"");
  } else {
    AppendWord(line, json, key, QuotedText(value));
  }
}

}  // namespace cardamomroute::internal
