#ifndef CARDAMOMROUTE_OPERATORS_LANGUAGE_H_
#define CARDAMOMROUTE_OPERATORS_LANGUAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamomroute {

/// Languages of answers to operators: Czech, Japanese, English.
enum class language : uint8_t { kCs, kJa, kEn };

constexpr size_t kLanguageCount = 3;

/// The ISO 639-1 code: "cs", "ja" or "en".
std::string_view NameOf(language value);

/// The language with this code, or nothing.
std::optional<language> FindLanguage(std::string_view name);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_LANGUAGE_H_
