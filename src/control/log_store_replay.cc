#include "control/log_store_replay.h"

#include <cstddef>

#include "control/log_store_damage.h"

namespace cardamomroute::control {

log_record HardStateRecord(const hard_state& hard) {
  return {record_kind::kHardState, hard.voted_for, hard.term, ""};
}

log_record StartRecord(uint64_t starts) {
  return {record_kind::kStart, starts, 0, ""};
}

log_record CommittedRecord(uint64_t index) {
  return {record_kind::kCommitted, index, 0, ""};
}

bool HoldsRaftState(const log_record& record) {
  return record.kind == record_kind::kHardState ||
         record.kind == record_kind::kEntry;
}

uint64_t replayed_log::TermAt(uint64_t index) const {
  return index == base_index ? base_term : entries[index - base_index - 1].term;
}

bool replayed_log::Replay(const log_record& record) {
  switch (record.kind) {
    case record_kind::kBase:
      base_index = record.index;
      base_term = record.term;
      return entries.empty();
    case record_kind::kStart:
      starts = record.index;
      return true;
    case record_kind::kHardState:
      hard = {record.term, record.index};
      return true;
    case record_kind::kEntry:
      return ReplayEntry(record);
    case record_kind::kCommitted:
      committed = record.index;
      return true;
    case record_kind::kSnapshot:
      return false;
  }
  return false;
}

bool replayed_log::ReplayEntry(const log_record& record) {
  if (record.index <= base_index || record.index > LastIndex() + 1) {
    return false;
  }
  entries.resize(record.index - base_index - 1);
  entries.push_back({record.index, record.term, record.bytes});
  return true;
}

bool replayed_log::CompactTo(uint64_t index, uint64_t term) {
  if (index < base_index) {
    return false;
  }
  if (index > LastIndex() || TermAt(index) != term) {
    entries.clear();
  } else {
    entries.erase(entries.begin(), entries.begin() +
                                       static_cast<ptrdiff_t>(index) -
                                       static_cast<ptrdiff_t>(base_index));
  }
  base_index = index;
  base_term = term;
  return true;
}

result<replayed_log> ReplayLog(const std::string& path,
                               const record_scan& scan) {
  if (scan.damaged_offset) {
    return CorruptionError(path, *scan.damaged_offset,
                           store_damage::kRecordDamaged);
  }
  if (scan.records.empty() || scan.records.front().kind != record_kind::kBase) {
    return CorruptionError(path, 0, store_damage::kFirstRecordMissing);
  }
  replayed_log log;
  for (const log_record& record : scan.records) {
    if (!log.Replay(record)) {
      return CorruptionError(path, scan.valid_bytes,
                             store_damage::kRecordsOutOfOrder);
    }
  }
  return log;
}

}  // namespace cardamomroute::control
