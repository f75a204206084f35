#ifndef CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_
#define CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/result.h"

namespace cardamomroute {

/// Load and health as reported by an upstream; may be outdated or wrong.
struct upstream_report {
  /// Requests that the upstream can run at the same time, 1 to 65535.
  uint32_t slots = 1;
  /// Requests running now, at most `slots`.
  uint32_t busy = 0;
  bool healthy = true;
};

/// Maximum size of a report, in bytes.
constexpr size_t kMaxReportBytes = 1024;

/// Parses a report: a JSON object with "slots", "busy" and "healthy"; other
/// fields are ignored. Fails with kMalformedMessage if a field is missing, has
/// the wrong type or is out of range.
result<upstream_report> ParseReport(std::string_view text);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_
