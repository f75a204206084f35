#include "operators/service_impact.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>

#include "services/dependencies.h"

namespace cardamomroute {
namespace {

/// The services that have a serving target.
absl::flat_hash_set<service_id> ServedIn(const view& present) {
  absl::flat_hash_set<service_id> served;
  for (const target& one : present.targets) {
    if (one.state == target_state::kServing) {
      served.insert(one.service);
    }
  }
  return served;
}

/// Dependencies by the position of services in the view.
dependency_lists DependenciesOf(const view& present) {
  absl::flat_hash_map<service_id, size_t> positions;
  for (size_t i = 0; i < present.services.size(); ++i) {
    positions.emplace(present.services[i].id, i);
  }
  dependency_lists lists(present.services.size());
  for (size_t i = 0; i < lists.size(); ++i) {
    for (const service_id needed : present.services[i].depends_on) {
      const auto known = positions.find(needed);
      if (known != positions.end()) {
        lists[i].push_back(known->second);
      }
    }
  }
  return lists;
}

}  // namespace

std::map<service_id, std::vector<std::string>> AffectedByMissing(
    const view& present) {
  const absl::flat_hash_set<service_id> served = ServedIn(present);
  const dependents_index dependents(DependenciesOf(present));
  std::map<service_id, std::vector<std::string>> affected;
  for (size_t i = 0; i < present.services.size(); ++i) {
    if (served.contains(present.services[i].id)) {
      continue;
    }
    std::vector<std::string>& names = affected[present.services[i].id];
    for (const size_t dependent : dependents.Of(i)) {
      names.push_back(present.services[dependent].name);
    }
    std::sort(names.begin(), names.end());
  }
  return affected;
}

}  // namespace cardamomroute
