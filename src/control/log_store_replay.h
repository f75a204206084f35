#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_REPLAY_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_REPLAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/result.h"
#include "control/log_store_record.h"
#include "control/log_store_types.h"

namespace cardamomroute::control {

/// The record of a hard state, of a folder's count of starts, and of what is
/// known to be committed.
log_record HardStateRecord(const hard_state& hard);
log_record StartRecord(uint64_t starts);
log_record CommittedRecord(uint64_t index);

/// True for a record that changes what is promised to other members.
bool IsChange(const log_record& record);

/// Entries and hard state as the records of one log file leave them.
class replayed_log {
 public:
  /// False when the record does not fit behind those before it.
  bool Replay(const log_record& record);

  /// Drops what the snapshot stands for. False when there is a gap between.
  /// Entries that follow another entry than the snapshot's last are dropped:
  /// a leader had replaced them (Raft paper, section 7).
  bool StartAfter(uint64_t index, uint64_t term);

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
