#ifndef CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_
#define CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "view/view.h"

namespace cardamomroute::control {

/// Version of the data folder's format, written to the identity file.
inline constexpr uint32_t kFormatVersion = 1;

/// File names in a data folder, and their prefixes and suffixes.
inline constexpr char kLockName[] = "lock";
inline constexpr char kIdentityName[] = "identity";
inline constexpr char kLogPrefix[] = "log-";
inline constexpr char kSnapshotPrefix[] = "snapshot-";
inline constexpr char kTemporarySuffix[] = ".tmp";
inline constexpr char kFormerPrefix[] = "former-";
inline constexpr char kAbandonMarkerName[] = "abandoned";

/// Returns the name of the log file or snapshot number `sequence`.
std::string FileNameFor(const std::string& prefix, uint64_t sequence);

/// Returns the highest sequence number among the names with this prefix, or 0
/// if there is none.
uint64_t HighestSequence(const std::vector<std::string>& names,
                         const std::string& prefix);

bool ContainsName(const std::vector<std::string>& names,
                  const std::string& name);

/// Returns the content of the identity file, including its checksum.
std::string IdentityContent(uint32_t version, member_id member);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_LOG_STORE_NAMES_H_
