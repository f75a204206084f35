#include "control/raft_membership_history.h"

#include <cstddef>
#include <utility>

namespace cardamomroute::control {

const raft_membership& raft_membership_history::At(uint64_t index) const {
  size_t position = versions_.size() - 1;
  while (position > 0 && versions_.at(position).index > index) {
    --position;
  }
  return versions_.at(position).membership;
}

void raft_membership_history::Reset(uint64_t index,
                                    raft_membership membership) {
  versions_.clear();
  versions_.push_back(version{index, std::move(membership)});
}

void raft_membership_history::Add(uint64_t index, raft_membership membership) {
  versions_.push_back(version{index, std::move(membership)});
}

void raft_membership_history::TruncateFrom(uint64_t index) {
  while (versions_.size() > 1 && versions_.back().index >= index) {
    versions_.pop_back();
  }
}

void raft_membership_history::Compact(uint64_t index) {
  while (versions_.size() > 1 && versions_.at(1).index <= index) {
    versions_.erase(versions_.begin());
  }
}

}  // namespace cardamomroute::control
