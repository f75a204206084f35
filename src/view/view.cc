#include "view/view.h"

#include <algorithm>

#include "view/items_by_id.h"

namespace cardamomroute {
const service* view::FindService(service_id id) const {
  return FindById(services, id);
}

const service* view::FindServiceAt(const endpoint& address) const {
  const auto found = std::find_if(
      services.begin(), services.end(),
      [&](const service& candidate) { return candidate.address == address; });
  return found != services.end() ? &*found : nullptr;
}

const target* view::FindTarget(target_id id) const {
  return FindById(targets, id);
}

}  // namespace cardamomroute
