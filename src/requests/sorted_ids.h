#ifndef CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_
#define CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_

#include <algorithm>
#include <cstdint>
#include <vector>

namespace cardamomroute {

/// Returns, in ascending order, the ids of the values in a hash map from id to
/// value for which `is_wanted(value)` is true. Hash map order differs from run
/// to run, but cores must be deterministic.
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

/// Returns all ids of a hash map from id to value, in ascending order.
template <typename Map>
std::vector<uint64_t> SortedIds(const Map& values) {
  return SortedIdsIf(values, [](const auto& /*value*/) { return true; });
}

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_SORTED_IDS_H_
