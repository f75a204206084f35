#include "directory/upstream_state.h"

#include <array>

namespace cardamomroute {

std::string_view NameOf(upstream_state state) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "absent", "serving", "draining", "ended"};
  return kNames.at(static_cast<size_t>(state));
}

}  // namespace cardamomroute
