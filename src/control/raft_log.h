#ifndef CARDAMOMROUTE_CONTROL_RAFT_LOG_H_
#define CARDAMOMROUTE_CONTROL_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "inner/raft.pb.h"

namespace cardamomroute::control {

/// The entries held in memory. Those up to and including the base are gone;
/// of the base itself, index and term are known.
class raft_log {
 public:
  uint64_t BaseIndex() const { return base_index_; }
  uint64_t FirstIndex() const { return base_index_ + 1; }
  uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  uint64_t LastTerm() const;
  /// Bytes of the entries held.
  size_t Bytes() const { return bytes_; }

  /// The term of the entry, or nothing where it is not held.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  /// True if the entry at `index` is held, or is the base, with this term.
  bool Matches(uint64_t index, uint64_t term) const;
  /// The highest index, at most `index`, whose term is at most `term`; not
  /// below the base.
  uint64_t LastIndexUpToTerm(uint64_t index, uint64_t term) const;
  /// The entry; it must be held.
  const inner::raft_entry& At(uint64_t index) const;
  /// Entries from `from` to at most `to`, of at most `max_bytes`, but at
  /// least one where there is any.
  std::vector<inner::raft_entry> Slice(uint64_t from, uint64_t to,
                                       size_t max_bytes) const;

  /// Adds the entry after the last one.
  void Append(inner::raft_entry entry);
  /// Drops the entry at `index` and all after it.
  void TruncateFrom(uint64_t index);
  /// Drops the oldest entries that are at most `index`, but keeps up to
  /// `retained_bytes` of these.
  void Compact(uint64_t index, size_t retained_bytes);
  /// Drops all entries and starts anew after `index`.
  void Reset(uint64_t index, uint64_t term);

 private:
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::deque<inner::raft_entry> entries_;
  size_t bytes_ = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_LOG_H_
