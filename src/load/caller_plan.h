#ifndef CARDAMOMROUTE_LOAD_CALLER_PLAN_H_
#define CARDAMOMROUTE_LOAD_CALLER_PLAN_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/endpoint.h"

namespace cardamomroute::load {

/// One kind of call as a stand-in caller makes it.
struct call_script {
  std::string_view name;
  /// Request code of RFC 7252, detail of class 0.
  uint8_t method;
  bool observe;
  /// Bytes of the body sent along.
  size_t body_bytes;
};

inline constexpr std::array<call_script, 5> kCallScripts = {{
    {"non_idempotent_call", 2, false, 64},
    {"idempotent_call", 1, false, 0},
    {"observation", 1, true, 0},
    {"upload", 3, false, 20000},
    {"download", 1, false, 0},
}};

/// What one caller process does.
struct caller_plan {
  endpoint service_address;
  std::string service_name;
  const call_script* script = nullptr;
  /// Path of the requests, one segment without a slash.
  std::string path;
  size_t sessions = 10;
  double requests_per_second = 10;
  double seconds = 5;
  /// How long a request may stay without a final answer.
  double patience_seconds = 10;
  uint64_t seed = 1;
  std::string report_path;
};

/// The script with this name, or null.
const call_script* FindScript(std::string_view name);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_CALLER_PLAN_H_
