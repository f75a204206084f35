#include "view/subtree_codec.h"

#include <limits>
#include <utility>

namespace cardamomroute {

void WriteMembers(const std::vector<uint64_t>& ids,
                  inner::subtree_report* subtree) {
  uint64_t last = 0;
  for (const uint64_t id : ids) {
    subtree->add_member_steps(id - std::exchange(last, id));
  }
}

std::vector<uint64_t> ReadMembers(const inner::subtree_report& subtree) {
  std::vector<uint64_t> ids;
  ids.reserve(static_cast<std::size_t>(subtree.member_steps_size()));
  uint64_t id = 0;
  for (const uint64_t step : subtree.member_steps()) {
    if (step == 0 || step > std::numeric_limits<uint64_t>::max() - id) {
      continue;
    }
    ids.push_back(id += step);
  }
  return ids;
}

void WriteCounts(const version_counts& counts, inner::subtree_report* subtree) {
  for (const auto& [version, nodes] : counts) {
    inner::version_count* item = subtree->add_versions();
    item->set_version(version);
    item->set_nodes(nodes);
  }
}

version_counts ReadCounts(const inner::pull_request& pull) {
  version_counts counts;
  for (const inner::version_count& item : pull.subtree().versions()) {
    counts[item.version()] += item.nodes();
  }
  if (counts.empty()) {
    counts[pull.have_version()] = 1;
  }
  return counts;
}

result<endpoint> ReadAnnouncedAddress(const inner::pull_request& pull) {
  return ParseEndpoint(pull.has_announced_target()
                           ? pull.announced_target().agent()
                           : pull.announced_balancer().inner());
}

}  // namespace cardamomroute
