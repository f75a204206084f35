#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "view/view.h"

namespace cardamomroute::control {

/// One entry of the replicated log; what `bytes` holds is the owner's affair.
struct stored_entry {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;

  friend bool operator==(const stored_entry& a, const stored_entry& b) {
    return a.index == b.index && a.term == b.term && a.bytes == b.bytes;
  }
};

/// What a member must never forget (Raft paper, figure 2, persistent state).
struct hard_state {
  uint64_t term = 0;
  /// 0 when no vote was given in this term.
  member_id voted_for = 0;

  friend bool operator==(const hard_state& a, const hard_state& b) {
    return a.term == b.term && a.voted_for == b.voted_for;
  }
};

/// The state as of `index`, in place of all entries up to it.
struct stored_snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;

  friend bool operator==(const stored_snapshot& a, const stored_snapshot& b) {
    return a.index == b.index && a.term == b.term && a.bytes == b.bytes;
  }
};

/// What a data folder held when it was opened.
struct stored_state {
  member_id member = 0;
  /// How often this folder has been opened, this time included.
  uint64_t starts = 0;
  hard_state hard;
  std::optional<stored_snapshot> snapshot;
  /// Without holes, from the snapshot's index + 1, or from 1.
  std::vector<stored_entry> entries;
  /// Entries up to here are known to be committed; there may be more.
  uint64_t committed = 0;
  /// Bytes of an unfinished write that were cut off; never promised.
  uint64_t cut_bytes = 0;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_TYPES_H_
