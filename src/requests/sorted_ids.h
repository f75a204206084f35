#ifndef CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_
#define CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cardamomroute {

/// The ids of those values of a hash map from id to value that
/// `is_wanted(value)` holds for, rising: hash maps give them in an order that
/// differs from run to run, and cores must not.
template <typename Map, typename Predicate>
std::vector<uint64_t> SortedIdsIf(const Map& values, Predicate is_wanted) {
  std::vector<uint64_t> ids;
  for (const auto& [id, value] : values) {
    if (is_wanted(value)) {
      ids.push_back(id);
    }
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

/// All ids of a hash map from id to value, rising.
template <typename Map>
std::vector<uint64_t> SortedIds(const Map& values) {
  return SortedIdsIf(values, [](const auto& /*value*/) { return true; });
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_
