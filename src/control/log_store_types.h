#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "view/view.h"

namespace cardamomroute::control {

/// One entry of the replicated log. The store does not interpret `bytes`.
struct stored_entry {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;

  friend bool operator==(const stored_entry& a, const stored_entry& b) {
    return a.index == b.index && a.term == b.term && a.bytes == b.bytes;
  }
};

/// Raft's persistent state apart from the log (Raft paper, figure 2).
struct hard_state {
  uint64_t term = 0;
  /// 0 if the member has not voted in this term.
  member_id voted_for = 0;

  friend bool operator==(const hard_state& a, const hard_state& b) {
    return a.term == b.term && a.voted_for == b.voted_for;
  }
};

/// Snapshot of the replicated state, which replaces all entries up to `index`.
struct stored_snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;

  friend bool operator==(const stored_snapshot& a, const stored_snapshot& b) {
    return a.index == b.index && a.term == b.term && a.bytes == b.bytes;
  }
};

/// Content of a data folder when it was opened.
struct stored_state {
  member_id member = 0;
  /// Number of times that the folder has been opened, including this one.
  uint64_t starts = 0;
  hard_state hard;
  std::optional<stored_snapshot> snapshot;
  /// Contiguous, from the snapshot's index + 1, or from 1 without a snapshot.
  std::vector<stored_entry> entries;
  /// Last commit index that was persisted; the actual one may be higher.
  uint64_t committed = 0;
  /// Size of the incomplete write that was truncated; its success was never
  /// reported.
  uint64_t truncated_bytes = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_
