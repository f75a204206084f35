#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomroute::control {

/// Type of a record in a log or snapshot file.
enum class record_kind : uint8_t {
  /// First record of a log file: index and term of the entry that precedes it.
  kBase = 1,
  /// `index` is the number of times that the folder has been opened.
  kStart,
  /// `term` is the current term, `index` the member voted for.
  kHardState,
  kEntry,
  kSnapshot,
  /// `index` is the commit index.
  kCommitted,
};

struct log_record {
  record_kind kind = record_kind::kEntry;
  uint64_t index = 0;
  uint64_t term = 0;
  std::string bytes;
};

/// Appends `record` to `out` as a frame. `synced_bytes` is the length of the
/// file's prefix that is known to be durable.
void AppendRecord(const log_record& record, uint64_t synced_bytes,
                  std::string* out);

/// Records of a file up to the first incomplete or damaged one.
struct record_scan {
  std::vector<log_record> records;
  /// Length of the file's prefix that holds `records`.
  uint64_t valid_bytes = 0;
  /// Offset of the first invalid record, if it was damaged after a sync rather
  /// than left by an incomplete write.
  std::optional<uint64_t> damaged_offset;
};

/// Parses the content of a log file. Invalid bytes after the last valid record
/// count as an incomplete write if the file ends within a record or the record
/// contains a sector of zeros. In all other cases, and if a later record proves
/// that the bytes had been synced, they count as damage.
record_scan ScanRecords(std::string_view content);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_RECORD_H_
