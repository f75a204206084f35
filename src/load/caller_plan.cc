#include "load/caller_plan.h"

#include <algorithm>

namespace cardamomroute::load {

const call_script* FindScript(std::string_view name) {
  const auto found = std::find_if(
      kCallScripts.begin(), kCallScripts.end(),
      [name](const call_script& script) { return script.name == name; });
  return found != kCallScripts.end() ? found : nullptr;
}

}  // namespace cardamomroute::load
