#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace cardamomroute::control {

/// What can be wrong with the files of a data folder.
enum class store_damage : uint8_t {
  kRecordDamaged,
  kFirstRecordMissing,
  kRecordsOutOfOrder,
  kIdentityMissing,
  kIdentityDamaged,
  kSnapshotDamaged,
  kLogMissing,
  kFormerSnapshotMissing,
};

/// What is wrong, in the order of store_damage; src/operators/detail_phrases.cc
/// has it in all languages.
inline constexpr std::array<std::string_view, 8> kDamageDetails = {
    "a record is damaged",          "the first record is missing",
    "records are out of order",     "the identity file is missing",
    "the identity file is damaged", "the snapshot is damaged",
    "the log is missing",           "the snapshot before this log is missing",
};

/// Follows each of kDamageDetails, behind "; ": what to do about it.
inline constexpr std::string_view kDamageRemedy =
    "keep a copy of the folder for inspection, then empty it and start again: "
    "the process joins as a standby with a new identity and takes the state "
    "from the other control VMs";

/// Follows the detail of a failed write, behind "; ".
inline constexpr std::string_view kDiskContentUnknown =
    "what is on the disk is unknown, so this process must end and read its "
    "folder anew";

/// kDataCorrupt at a byte of a file.
error Corrupt(const std::string& path, uint64_t offset, store_damage found);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_DAMAGE_H_
