#ifndef CARDAMOMROUTE_CONTROL_RAFT_LOG_H_
#define CARDAMOMROUTE_CONTROL_RAFT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "inner/raft.pb.h"

namespace cardamomroute::control {

/// Log entries in memory. Entries up to and including the base were discarded
/// by compaction; only the index and term of the base are kept.
class raft_log {
 public:
  uint64_t BaseIndex() const { return base_index_; }
  uint64_t FirstIndex() const { return base_index_ + 1; }
  uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  uint64_t LastTerm() const;
  /// Serialized size of the entries in memory.
  size_t Bytes() const { return bytes_; }

  /// Term of the entry at `index`, which may be the base; nullopt if it is not
  /// in memory.
  std::optional<uint64_t> TermAt(uint64_t index) const;
  /// True if the entry at `index`, or the base, has this term.
  bool Matches(uint64_t index, uint64_t term) const;
  /// Highest index <= `index` whose entry has a term <= `term`; the base index
  /// if there is none. Used to find where two logs may agree.
  uint64_t LastIndexUpToTerm(uint64_t index, uint64_t term) const;
  /// The entry at `index`, which must be in memory.
  const inner::raft_entry& At(uint64_t index) const;
  /// Entries from `from` through `to`, limited to `max_bytes`. Returns at least
  /// one entry if the range has any.
  std::vector<inner::raft_entry> Slice(uint64_t from, uint64_t to,
                                       size_t max_bytes) const;

  /// Appends an entry; its index must be LastIndex() + 1.
  void Append(inner::raft_entry entry);
  /// Removes the entry at `index` and all later ones.
  void TruncateFrom(uint64_t index);
  /// Discards the oldest entries up to `index`, but keeps up to
  /// `retained_bytes` of them.
  void Compact(uint64_t index, size_t retained_bytes);
  /// Discards all entries and sets the base to `index` and `term`.
  void Reset(uint64_t index, uint64_t term);

 private:
  uint64_t base_index_ = 0;
  uint64_t base_term_ = 0;
  std::deque<inner::raft_entry> entries_;
  size_t bytes_ = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_LOG_H_
