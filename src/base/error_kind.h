#ifndef CARDAMOMROUTE_BASE_ERROR_KIND_H_
#define CARDAMOMROUTE_BASE_ERROR_KIND_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace cardamomroute {

/// Every way in which the system can fail to do what it was asked. The list
/// is closed: code that meets a new kind of failure adds it here, and the
/// tables of answers are checked against it.
enum class error_kind : uint8_t {
  // Text and settings.
  kFileUnreadable,
  kNotUtf8,
  kNotJson,
  kDuplicateKey,
  kTooDeep,
  kTooLarge,
  kSchemaViolation,
  kValueOutOfRange,
  kUnknownDependency,
  kDependencyCycle,
  kDuplicateName,
  kDuplicateAddress,
  // Submission.
  kVersionConflict,
  kSubmissionReused,
  kOutcomeUnknown,
  kOutcomeLost,
  kNoQuorum,
  kNotLeader,
  kAddressQuarantined,
  kNotInForce,
  kUnknownTarget,
  kUnknownMember,
  // Data folder.
  kDataCorrupt,
  kDataFormat,
  kDiskFull,
  kFolderLocked,
  kIoFailed,
  kDiskIdentity,
  kNoGroup,
  kFormerGroup,
  // Command line.
  kUsage,
  // Messages between processes.
  kMalformedMessage,
  kWrongService,
  kStaleView,
  kUnreachable,
  // Requests of callers.
  kBadRequest,
  kUnknownCallKind,
  kBusy,
  kDeadlineUnmeetable,
  kDraining,
  kEchoRequired,
  kRunUnknown,
};

/// What a failed operation means for the one who asked for it.
enum class error_effect : uint8_t {
  /// Nothing was changed or run; asking again unchanged fails again.
  kRefused,
  /// Nothing was changed or run; asking again later may succeed.
  kTryLater,
  /// It cannot be told whether the operation took effect.
  kUnknown,
};

/// One row of the closed list.
struct error_row {
  error_kind kind;
  /// Stable code, shown to operators in every language.
  std::string_view code;
  error_effect effect;
  /// Exit status of the command that ends with this error.
  int exit_status;
};

/// All kinds, in the order of the enumeration.
extern const std::array<error_row, 42> kErrorTable;

/// The row of `kind`.
const error_row& RowOf(error_kind kind);

/// The stable code of `kind`, for example "version-conflict".
std::string_view CodeOf(error_kind kind);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_ERROR_KIND_H_
