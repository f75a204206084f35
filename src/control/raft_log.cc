#include "control/raft_log.h"

#include <algorithm>
#include <utility>

namespace cardamomroute::control {

uint64_t raft_log::LastTerm() const {
  return entries_.empty() ? base_term_ : entries_.back().term();
}

std::optional<uint64_t> raft_log::TermAt(uint64_t index) const {
  if (index == base_index_) {
    return base_term_;
  }
  if (index < base_index_ || index > LastIndex()) {
    return std::nullopt;
  }
  return At(index).term();
}

bool raft_log::Matches(uint64_t index, uint64_t term) const {
  return TermAt(index) == term;
}

uint64_t raft_log::LastIndexUpToTerm(uint64_t index, uint64_t term) const {
  uint64_t found = std::min(index, LastIndex());
  while (found > base_index_ && At(found).term() > term) {
    --found;
  }
  return std::max(found, base_index_);
}

const inner::raft_entry& raft_log::At(uint64_t index) const {
  return entries_.at(index - base_index_ - 1);
}

std::vector<inner::raft_entry> raft_log::Slice(uint64_t from, uint64_t to,
                                               size_t max_bytes) const {
  std::vector<inner::raft_entry> slice;
  size_t bytes = 0;
  const uint64_t last = std::min(to, LastIndex());
  for (uint64_t index = std::max(from, FirstIndex()); index <= last; ++index) {
    const inner::raft_entry& entry = At(index);
    bytes += entry.ByteSizeLong();
    if (!slice.empty() && bytes > max_bytes) {
      break;
    }
    slice.push_back(entry);
  }
  return slice;
}

void raft_log::Append(inner::raft_entry entry) {
  bytes_ += entry.ByteSizeLong();
  entries_.push_back(std::move(entry));
}

void raft_log::TruncateFrom(uint64_t index) {
  while (LastIndex() >= index && !entries_.empty()) {
    bytes_ -= entries_.back().ByteSizeLong();
    entries_.pop_back();
  }
}

void raft_log::Compact(uint64_t index, size_t retained_bytes) {
  size_t covered_bytes = 0;
  const uint64_t last = std::min(index, LastIndex());
  for (uint64_t covered = FirstIndex(); covered <= last; ++covered) {
    covered_bytes += At(covered).ByteSizeLong();
  }
  while (base_index_ < last && covered_bytes > retained_bytes) {
    const size_t size = entries_.front().ByteSizeLong();
    covered_bytes -= size;
    bytes_ -= size;
    base_term_ = entries_.front().term();
    entries_.pop_front();
    ++base_index_;
  }
}

void raft_log::Reset(uint64_t index, uint64_t term) {
  entries_.clear();
  bytes_ = 0;
  base_index_ = index;
  base_term_ = term;
}

}  // namespace cardamomroute::control
