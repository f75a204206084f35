#ifndef CARDAMOMROUTE_SERVICES_SERVICE_NAMES_H_
#define CARDAMOMROUTE_SERVICES_SERVICE_NAMES_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace cardamomroute::internal {

/// Longest name of a service or call, in code points.
constexpr size_t kMaxNameLength = 64;

/// Longest path and longest segment of a path (RFC 7252, section 5.10), in
/// bytes.
constexpr size_t kMaxPathBytes = 1024;
constexpr size_t kMaxSegmentBytes = 255;

/// Why `name` (UTF-8, NFC) cannot name a service or call; empty when it can.
/// Letters and digits of any script may stand in it, and between them single
/// spaces and - _ . and U+30FB.
std::string FaultOfName(std::string_view name);

/// Why `path` (UTF-8, NFC) is no path of a call; empty when it is one.
std::string FaultOfPath(std::string_view path);

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_SERVICES_SERVICE_NAMES_H_
