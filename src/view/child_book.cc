#include "view/child_book.h"

#include <algorithm>
#include <iterator>

namespace cardamomroute {
namespace {

constexpr absl::Duration kChildLease = absl::Seconds(2);

}  // namespace

child_book::child_book(std::size_t max_children, std::size_t max_leaves)
    : max_children_(max_children), max_leaves_(max_leaves) {}

child_book::child_book(std::size_t max_children)
    : child_book(max_children, max_children) {}

bool child_book::OnPull(const endpoint& child_address,
                        const version_counts& subtree, absl::Time now,
                        bool is_leaf) {
  const auto known = children_.find(child_address);
  if (known != children_.end() && known->second.is_leaf != is_leaf) {
    children_.erase(known);
  }
  if (!children_.contains(child_address) && !HasRoom(is_leaf)) {
    OnTick(now);
    if (!HasRoom(is_leaf)) {
      return false;
    }
  }
  child& entry = children_[child_address];
  entry.subtree = subtree;
  entry.expires = now + kChildLease;
  entry.is_leaf = is_leaf;
  return true;
}

bool child_book::HasRoom(bool is_leaf) const {
  const auto leaves = static_cast<std::size_t>(
      std::count_if(children_.begin(), children_.end(),
                    [](const auto& entry) { return entry.second.is_leaf; }));
  return children_.size() < max_children_ && (!is_leaf || leaves < max_leaves_);
}

void child_book::OnTick(absl::Time now) {
  for (auto entry = children_.begin(); entry != children_.end();) {
    entry = now >= entry->second.expires ? children_.erase(entry)
                                         : std::next(entry);
  }
}

version_counts child_book::Sum(absl::Time now) const {
  version_counts sum;
  for (const auto& [address, entry] : children_) {
    if (now >= entry.expires) {
      continue;
    }
    for (const auto& [version, count] : entry.subtree) {
      sum[version] += count;
    }
  }
  return sum;
}

std::vector<endpoint> child_book::Relays() const {
  std::vector<endpoint> addresses;
  addresses.reserve(children_.size());
  for (const auto& [address, entry] : children_) {
    if (!entry.is_leaf) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace cardamomroute
