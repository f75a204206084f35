#ifndef CARDAMOMROUTE_VIEW_ITEMS_BY_ID_H_
#define CARDAMOMROUTE_VIEW_ITEMS_BY_ID_H_

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cardamomroute {

/// Iterator to the first item whose id is not below `id`. `items`, a vector of
/// anything with an id, is sorted by it.
template <typename Items>
auto LowerBoundById(Items& items, uint64_t id) {
  return std::lower_bound(
      items.begin(), items.end(), id,
      [](const auto& item, uint64_t wanted) { return item.id < wanted; });
}

/// The item with this id, or null. `items` is sorted by id.
template <typename Item>
const Item* FindById(const std::vector<Item>& items, uint64_t id) {
  const auto found = LowerBoundById(items, id);
  return found != items.end() && found->id == id ? &*found : nullptr;
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_ITEMS_BY_ID_H_
