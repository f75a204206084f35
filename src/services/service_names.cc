#include "services/service_names.h"

#include <absl/strings/str_format.h>
#include <unicode/uchar.h>
#include <unicode/utf8.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "base/concat.h"

namespace cardamomroute::internal {
namespace {

constexpr UChar32 kKatakanaMiddleDot = 0x30FB;

std::vector<UChar32> CodePointsOf(std::string_view text) {
  std::vector<UChar32> points;
  const auto size = static_cast<int64_t>(text.size());
  for (int64_t at = 0; at < size;) {
    UChar32 point = 0;
    U8_NEXT(text.data(), at, size, point);
    points.push_back(point);
  }
  return points;
}

bool IsSeparator(UChar32 point) {
  return point == ' ' || point == '-' || point == '_' || point == '.' ||
         point == kKatakanaMiddleDot;
}

std::string NotAllowed(UChar32 point) {
  return absl::StrFormat("character U+%04X is not allowed here",
                         static_cast<uint32_t>(point));
}

std::string FaultOfSegment(std::string_view segment) {
  if (segment.empty() || segment == "." || segment == "..") {
    return "a path has no empty segments and no \".\" or \"..\"";
  }
  if (segment.size() > kMaxSegmentBytes) {
    return Concat("a segment has more than ", kMaxSegmentBytes, " bytes");
  }
  for (const UChar32 point : CodePointsOf(segment)) {
    if (u_iscntrl(point) || u_isspace(point) || point == '%' || point == '?' ||
        point == '#') {
      return NotAllowed(point);
    }
  }
  return "";
}

}  // namespace

std::string FaultOfName(std::string_view name) {
  const std::vector<UChar32> points = CodePointsOf(name);
  if (points.empty() || points.size() > kMaxNameLength) {
    return Concat("a name has 1 to ", kMaxNameLength, " characters, not ",
                  points.size());
  }
  bool separator_allowed = false;
  for (const UChar32 point : points) {
    const bool separator = IsSeparator(point);
    if (!u_isalnum(point) && !(separator && separator_allowed)) {
      return NotAllowed(point);
    }
    separator_allowed = !separator;
  }
  return separator_allowed ? "" : NotAllowed(points.back());
}

std::string FaultOfPath(std::string_view path) {
  if (path.empty() || path.front() != '/') {
    return "a path begins with \"/\"";
  }
  if (path.size() > kMaxPathBytes) {
    return Concat("a path has more than ", kMaxPathBytes, " bytes");
  }
  if (path == "/") {
    return "";
  }
  size_t begin = 1;
  while (begin <= path.size()) {
    const size_t end = std::min(path.find('/', begin), path.size());
    std::string fault = FaultOfSegment(path.substr(begin, end - begin));
    if (!fault.empty()) {
      return fault;
    }
    begin = end + 1;
  }
  return "";
}

}  // namespace cardamomroute::internal
