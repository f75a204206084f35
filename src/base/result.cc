#include "base/result.h"

#include "absl/strings/str_cat.h"

namespace cardamomroute {

std::string Describe(const error& failure) {
  std::string text(CodeOf(failure.kind));
  if (!failure.place.empty()) {
    absl::StrAppend(&text, " ", failure.place);
  }
  if (!failure.detail.empty()) {
    absl::StrAppend(&text, ": ", failure.detail);
  }
  return text;
}

}  // namespace cardamomroute
