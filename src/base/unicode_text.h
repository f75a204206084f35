#ifndef CARDAMOMROUTE_BASE_UNICODE_TEXT_H_
#define CARDAMOMROUTE_BASE_UNICODE_TEXT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomroute {

/// Offset of the first byte that is not part of well-formed UTF-8, or nothing
/// when all of `text` is well formed.
std::optional<size_t> FindInvalidUtf8(std::string_view text);

/// `text` in Normalization Form C (Unicode Standard Annex 15). `text` has to
/// be well-formed UTF-8.
std::string ToNfc(std::string_view text);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_UNICODE_TEXT_H_
