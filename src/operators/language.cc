#include "operators/language.h"

#include <array>

namespace cardamomroute {
namespace {

constexpr std::array<std::string_view, kLanguageCount> kNames = {"cs", "ja",
                                                                 "en"};

}  // namespace

std::string_view NameOf(language value) {
  return kNames.at(static_cast<size_t>(value));
}

std::optional<language> FindLanguage(std::string_view name) {
  for (size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == name) {
      return static_cast<language>(i);
    }
  }
  return std::nullopt;
}

}  // namespace cardamomroute
