#include "base/unicode_text.h"

#include <unicode/bytestream.h>
#include <unicode/normalizer2.h>
#include <unicode/utf8.h>

#include <cstdint>

namespace cardamomroute {

std::optional<size_t> FindInvalidUtf8(std::string_view text) {
  const auto size = static_cast<int64_t>(text.size());
  int64_t at = 0;
  while (at < size) {
    const int64_t begin = at;
    UChar32 point = 0;
    U8_NEXT(text.data(), at, size, point);
    if (point < 0) {
      return static_cast<size_t>(begin);
    }
  }
  return std::nullopt;
}

std::string ToNfc(std::string_view text) {
  UErrorCode status = U_ZERO_ERROR;
  const icu::Normalizer2* form = icu::Normalizer2::getNFCInstance(status);
  std::string normalized;
  icu::StringByteSink<std::string> sink(&normalized);
  form->normalizeUTF8(
      0, icu::StringPiece(text.data(), static_cast<int32_t>(text.size())), sink,
      nullptr, status);
  return normalized;
}

}  // namespace cardamomroute
