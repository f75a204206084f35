#ifndef CARDAMOMROUTE_BASE_BYTES_H_
#define CARDAMOMROUTE_BASE_BYTES_H_

#include <cstdint>
#include <string_view>

#include "absl/types/span.h"

namespace cardamomroute {

/// The same memory as octets.
inline absl::Span<const uint8_t> AsBytes(std::string_view text) {
  return {reinterpret_cast<const uint8_t*>(text.data()), text.size()};
}

/// The same memory as characters.
inline std::string_view AsText(absl::Span<const uint8_t> bytes) {
  return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_BYTES_H_
