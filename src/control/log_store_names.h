#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "view/view.h"

namespace cardamomroute::control {

/// Version of the format of a data folder.
inline constexpr uint32_t kFormatVersion = 1;

/// Names of files in a data folder, and prefixes and suffixes of them.
inline constexpr char kLockName[] = "lock";
inline constexpr char kIdentityName[] = "identity";
inline constexpr char kLogPrefix[] = "log-";
inline constexpr char kSnapshotPrefix[] = "snapshot-";
inline constexpr char kUnfinishedSuffix[] = ".tmp";
inline constexpr char kFormerPrefix[] = "former-";
inline constexpr char kAbandonedName[] = "abandoned";

/// The name of the log file or snapshot with this sequence.
std::string NameOf(const std::string& prefix, uint64_t sequence);

/// The highest sequence among the names with this prefix, or 0.
uint64_t HighestSequence(const std::vector<std::string>& names,
                         const std::string& prefix);

/// True if `name` is among `names`.
bool Holds(const std::vector<std::string>& names, const std::string& name);

/// What the identity file holds.
std::string IdentityText(uint32_t version, member_id member);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_
