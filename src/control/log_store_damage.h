#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace cardamomroute::control {

/// Kinds of corruption found in the files of a data folder.
enum class store_damage : uint8_t {
  kRecordDamaged,
  kFirstRecordMissing,
  kRecordsOutOfOrder,
  kIdentityMissing,
  kIdentityDamaged,
  kSnapshotDamaged,
  kLogMissing,
  kPrecedingSnapshotMissing,
};

/// Error details, indexed by store_damage. src/operators/detail_phrases.cc
/// translates them.
inline constexpr std::array<std::string_view, 8> kDamageDetails = {
    "a record is damaged",          "the first record is missing",
    "records are out of order",     "the identity file is missing",
    "the identity file is damaged", "the snapshot is damaged",
    "the log is missing",           "the snapshot before this log is missing",
};

/// Instruction to the operator, appended to each of kDamageDetails after "; ".
inline constexpr std::string_view kDamageRemedy =
    "keep a copy of the folder for inspection, then empty it and start again: "
    "the process joins as a standby with a new identity and takes the state "
    "from the other control VMs";

/// Appended to the detail of a failed write after "; ".
inline constexpr std::string_view kDiskContentUnknown =
    "what is on the disk is unknown, so this process must end and read its "
    "folder anew";

/// Returns kDataCorrupt for a byte offset in the file at `path`.
error CorruptionError(const std::string& path, uint64_t offset,
                      store_damage found);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_
