#ifndef CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_
#define CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/result.h"

namespace cardamomroute {

/// What an upstream says of itself. It may lag, and it may be wrong.
struct upstream_report {
  /// Requests that it can run at the same time, 1 to 65535.
  uint32_t slots = 1;
  /// Requests that it runs, at most `slots`.
  uint32_t busy = 0;
  bool healthy = true;
};

/// Largest report, in bytes.
constexpr size_t kMaxReportBytes = 1024;

/// Reads a report: a JSON object with "slots", "busy" and "healthy"; further
/// fields are passed over. Fails with kMalformedMessage when a field is
/// missing, of another type, or cannot be true.
result<upstream_report> ParseReport(std::string_view text);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_UPSTREAM_REPORT_H_
