#include "view/relay_tree.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <utility>

#include "view/view.h"

namespace cardamomroute {
namespace {

constexpr uint64_t kLevelSeed = 0x6c6576656c000001ULL;
constexpr std::size_t kMeanChildren = kRelayFanOut / 2;
/// Parents to try in the level above, and in each level further up.
constexpr std::size_t kNearParents = 3;
constexpr std::size_t kFarParents = 1;

uint64_t HashNode(const endpoint& node, uint64_t seed) {
  uint8_t bytes[18];
  std::copy(node.ip.begin(), node.ip.end(), bytes);
  bytes[16] = static_cast<uint8_t>(node.port >> 8);
  bytes[17] = static_cast<uint8_t>(node.port);
  return XXH64(bytes, sizeof(bytes), seed);
}

/// The `count` members of highest weight for `node`, best first.
std::vector<endpoint> ChooseBest(const std::vector<endpoint>& members,
                                 const endpoint& node, std::size_t count) {
  const uint64_t seed = HashNode(node, kLevelSeed);
  std::vector<std::pair<uint64_t, endpoint>> weighed;
  weighed.reserve(members.size());
  for (const endpoint& member : members) {
    if (member != node) {
      weighed.emplace_back(HashNode(member, seed), member);
    }
  }
  const auto middle = weighed.begin() + static_cast<std::ptrdiff_t>(
                                            std::min(count, weighed.size()));
  std::partial_sort(weighed.begin(), middle, weighed.end(),
                    [](const auto& a, const auto& b) { return b < a; });
  std::vector<endpoint> best;
  for (auto item = weighed.begin(); item != middle; ++item) {
    best.push_back(item->second);
  }
  return best;
}

/// Children of control on average.
std::size_t DirectNodes(std::size_t max_direct_nodes) {
  return std::max<std::size_t>(1, max_direct_nodes / 2);
}

std::size_t RoundUpToPowerOfTwo(std::size_t value) {
  std::size_t rounded = 1;
  while (rounded < value) {
    rounded *= 2;
  }
  return rounded;
}

}  // namespace

relay_tree::relay_tree(const view& whole, std::vector<endpoint> control,
                       std::size_t max_direct_nodes)
    : relay_tree(whole, std::move(control), max_direct_nodes,
                 whole.targets.size()) {}

relay_tree::relay_tree(const view& filtered, std::vector<endpoint> control,
                       std::size_t max_direct_nodes, std::size_t targets) {
  std::sort(control.begin(), control.end());
  levels_.push_back(std::move(control));
  const std::size_t nodes = targets + filtered.balancers.size();
  if (RoundUpToPowerOfTwo(nodes) <= DirectNodes(max_direct_nodes)) {
    AddLevels(nodes, max_direct_nodes);
    return;
  }
  if (AddBalancers(filtered, max_direct_nodes, targets)) {
    return;
  }
  agents_relay_ = true;
  AddAll(filtered, max_direct_nodes, nodes);
}

// False, and nothing is added, where the last level of balancers is too small
// for all agents.
bool relay_tree::AddBalancers(const view& current, std::size_t max_direct_nodes,
                              std::size_t targets) {
  AddLevels(current.balancers.size(), max_direct_nodes);
  for (const balancer& item : current.balancers) {
    levels_[HashedLevelOf(item.inner)].push_back(item.inner);
    balancers_.push_back(item.inner);
  }
  while (levels_.size() > 1 && levels_.back().empty()) {
    levels_.pop_back();
  }
  if (levels_.size() > 1 && levels_.back().size() * kMeanChildren >= targets) {
    std::sort(balancers_.begin(), balancers_.end());
    agent_level_ = levels_.size();
    levels_.emplace_back();
    return true;
  }
  levels_.resize(1);
  hash_limits_.clear();
  balancers_.clear();
  return false;
}

void relay_tree::AddAll(const view& current, std::size_t max_direct_nodes,
                        std::size_t nodes) {
  AddLevels(nodes, max_direct_nodes);
  for (const target& item : current.targets) {
    levels_[HashedLevelOf(item.agent)].push_back(item.agent);
  }
  for (const balancer& item : current.balancers) {
    levels_[HashedLevelOf(item.inner)].push_back(item.inner);
  }
}

void relay_tree::AddLevels(std::size_t nodes, std::size_t max_direct_nodes) {
  constexpr uint64_t kWhole = std::numeric_limits<uint64_t>::max();
  const std::size_t rounded = RoundUpToPowerOfTwo(nodes);
  std::size_t size = DirectNodes(max_direct_nodes);
  std::size_t covered = 0;
  while (covered < rounded) {
    covered += size;
    size *= kMeanChildren;
    hash_limits_.push_back(covered >= rounded ? kWhole
                                              : kWhole / rounded * covered);
  }
  levels_.resize(1 + hash_limits_.size());
}

std::size_t relay_tree::LevelOf(const endpoint& node) const {
  if (std::binary_search(levels_[0].begin(), levels_[0].end(), node)) {
    return 0;
  }
  const bool is_agent =
      agent_level_ != 0 &&
      !std::binary_search(balancers_.begin(), balancers_.end(), node);
  return is_agent ? agent_level_ : HashedLevelOf(node);
}

std::size_t relay_tree::HashedLevelOf(const endpoint& node) const {
  const uint64_t hash = HashNode(node, kLevelSeed);
  const auto limit =
      std::lower_bound(hash_limits_.begin(), hash_limits_.end(), hash);
  return 1 + static_cast<std::size_t>(limit - hash_limits_.begin());
}

std::vector<endpoint> relay_tree::ParentsOf(const endpoint& node) const {
  std::vector<endpoint> parents;
  const std::size_t own_level = LevelOf(node);
  for (std::size_t level = own_level; level-- > 0;) {
    const std::size_t count = level == 0               ? levels_[0].size()
                              : level + 1 == own_level ? kNearParents
                                                       : kFarParents;
    const std::vector<endpoint> best = ChooseBest(levels_[level], node, count);
    parents.insert(parents.end(), best.begin(), best.end());
  }
  return parents;
}

}  // namespace cardamomroute
