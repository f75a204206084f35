#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomroute::control {

/// What a record of a log file holds.
enum class record_kind : uint8_t {
  /// First of each file: index and term of the last entry before the file.
  kBase = 1,
  /// `index` counts how often the folder was opened.
  kStart,
  /// `term` is the present term, `index` the member voted for.
  kHardState,
  kEntry,
  kSnapshot,
  /// All entries up to `index` are known to be committed.
  kCommitted,
};

struct log_record {
  record_kind kind = record_kind::kEntry;
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;
};

/// Appends the frame of `record` to `out`. `synced_bytes` is the length of the
/// file's prefix that is known to be on the disk.
void AppendRecord(const log_record& record, uint64_t synced_bytes,
                  std::string* out);

/// The records of a file, up to the first that is not whole.
struct record_scan {
  std::vector<log_record> records;
  /// Length of the prefix that the records take up.
  uint64_t whole_bytes = 0;
  /// Offset of a record that was damaged after it had been synced, so far as
  /// that can be told from an unfinished write.
  std::optional<uint64_t> damaged_at;
};

/// Reads a log file. Bytes behind the last whole record count as an unfinished
/// write where the file ends early or holds a sector of zeros there, and as
/// damage in all other cases and where a later record proves that they were
/// synced.
record_scan ScanRecords(std::string_view content);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_
