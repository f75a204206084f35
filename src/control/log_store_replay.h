#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_REPLAY_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_REPLAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/log_store_record.h"
#include "control/log_store_types.h"

namespace cardamomroute::control {

/// Convert a hard state, a start count and a commit index to their records.
log_record HardStateRecord(const hard_state& hard);
log_record StartRecord(uint64_t starts);
log_record CommittedRecord(uint64_t index);

/// True for an entry or a hard state, the records that other members rely on.
bool HoldsRaftState(const log_record& record);

/// State accumulated by replaying the records of one log file.
class replayed_log {
 public:
  /// Applies the next record. Returns false if it cannot follow the earlier
  /// ones.
  bool Replay(const log_record& record);

  /// Discards the entries covered by a snapshot at `index` and `term`. Returns
  /// false if there is a gap between the snapshot and the log. If the entry at
  /// `index` has another term or is missing, all entries are discarded: they
  /// conflict with a leader's log (Raft paper, section 7).
  bool CompactTo(uint64_t index, uint64_t term);

  uint64_t base_index = 0;
  uint64_t base_term = 0;
  uint64_t starts = 0;
  hard_state hard;
  uint64_t committed = 0;
  std::vector<stored_entry> entries;

 private:
  uint64_t LastIndex() const { return base_index + entries.size(); }
  uint64_t TermAt(uint64_t index) const;
  bool ReplayEntry(const log_record& record);
};

/// Replays the records of the log file at `path`. Fails with kDataCorrupt.
result<replayed_log> ReplayLog(const std::string& path,
                               const record_scan& scan);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_REPLAY_H_
