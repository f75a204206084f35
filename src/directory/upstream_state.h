#ifndef CARDAMOMROUTE_DIRECTORY_UPSTREAM_STATE_H_
#define CARDAMOMROUTE_DIRECTORY_UPSTREAM_STATE_H_

#include <cstdint>
#include <string_view>

namespace cardamomroute {

/// What an agent knows of the upstream beside it.
enum class upstream_state : uint8_t {
  /// Not heard of.
  kAbsent,
  /// Takes new flows.
  kServing,
  /// Keeps its flows and is to get no new ones.
  kDraining,
  /// Nobody is at its address: it holds no flows.
  kEnded,
};

/// "absent", "serving", "draining" or "ended".
std::string_view NameOf(upstream_state state);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_UPSTREAM_STATE_H_
