#ifndef CARDAMOMROUTE_BASE_CONCAT_H_
#define CARDAMOMROUTE_BASE_CONCAT_H_

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <string>
#include <string_view>

namespace cardamomroute {
namespace internal {

/// Debian builds Abseil with a string view of its own.
inline absl::string_view ForAbseil(std::string_view part) {
  return {part.data(), part.size()};
}

template <class Part>
const Part& ForAbseil(const Part& part) {
  return part;
}

}  // namespace internal

/// absl::StrCat that also takes std::string_view.
template <class... Parts>
std::string Concat(const Parts&... parts) {
  return absl::StrCat(internal::ForAbseil(parts)...);
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_CONCAT_H_
