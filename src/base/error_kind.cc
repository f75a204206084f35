#include "base/error_kind.h"

#include <cstddef>

namespace cardamomroute {
namespace {

// Exit statuses of the commands, by what the operator can do next.
constexpr int kExitUsage = 2;
constexpr int kExitRefused = 3;
constexpr int kExitTryLater = 4;
constexpr int kExitUnknown = 5;
constexpr int kExitData = 6;

}  // namespace

const std::array<error_row, 42> kErrorTable = {{
    {error_kind::kFileUnreadable, "file-unreadable", error_effect::kRefused,
     kExitRefused},
    {error_kind::kNotUtf8, "not-utf8", error_effect::kRefused, kExitRefused},
    {error_kind::kNotJson, "not-json", error_effect::kRefused, kExitRefused},
    {error_kind::kDuplicateKey, "duplicate-key", error_effect::kRefused,
     kExitRefused},
    {error_kind::kTooDeep, "too-deep", error_effect::kRefused, kExitRefused},
    {error_kind::kTooLarge, "too-large", error_effect::kRefused, kExitRefused},
    {error_kind::kSchemaViolation, "schema-violation", error_effect::kRefused,
     kExitRefused},
    {error_kind::kValueOutOfRange, "value-out-of-range", error_effect::kRefused,
     kExitRefused},
    {error_kind::kUnknownDependency, "unknown-dependency",
     error_effect::kRefused, kExitRefused},
    {error_kind::kDependencyCycle, "dependency-cycle", error_effect::kRefused,
     kExitRefused},
    {error_kind::kDuplicateName, "duplicate-name", error_effect::kRefused,
     kExitRefused},
    {error_kind::kDuplicateAddress, "duplicate-address", error_effect::kRefused,
     kExitRefused},
    {error_kind::kVersionConflict, "version-conflict", error_effect::kRefused,
     kExitRefused},
    {error_kind::kSubmissionReused, "submission-reused", error_effect::kRefused,
     kExitRefused},
    {error_kind::kOutcomeUnknown, "outcome-unknown", error_effect::kUnknown,
     kExitUnknown},
    {error_kind::kOutcomeLost, "outcome-lost", error_effect::kUnknown,
     kExitUnknown},
    {error_kind::kNoQuorum, "no-quorum", error_effect::kTryLater,
     kExitTryLater},
    {error_kind::kNotLeader, "not-leader", error_effect::kTryLater,
     kExitTryLater},
    {error_kind::kAddressQuarantined, "address-quarantined",
     error_effect::kTryLater, kExitTryLater},
    {error_kind::kNotInForce, "not-in-force", error_effect::kUnknown,
     kExitUnknown},
    {error_kind::kUnknownTarget, "unknown-target", error_effect::kRefused,
     kExitRefused},
    {error_kind::kUnknownMember, "unknown-member", error_effect::kRefused,
     kExitRefused},
    {error_kind::kDataCorrupt, "data-corrupt", error_effect::kRefused,
     kExitData},
    {error_kind::kDataFormat, "data-format", error_effect::kRefused, kExitData},
    {error_kind::kDiskFull, "disk-full", error_effect::kTryLater, kExitData},
    {error_kind::kFolderLocked, "folder-locked", error_effect::kTryLater,
     kExitData},
    {error_kind::kIoFailed, "io-failed", error_effect::kUnknown, kExitData},
    {error_kind::kDiskIdentity, "disk-identity", error_effect::kRefused,
     kExitData},
    {error_kind::kNoGroup, "no-group", error_effect::kRefused, kExitData},
    {error_kind::kFormerGroup, "former-group", error_effect::kRefused,
     kExitData},
    {error_kind::kUsage, "usage", error_effect::kRefused, kExitUsage},
    {error_kind::kMalformedMessage, "malformed-message", error_effect::kRefused,
     kExitRefused},
    {error_kind::kWrongService, "wrong-service", error_effect::kRefused,
     kExitRefused},
    {error_kind::kStaleView, "stale-view", error_effect::kTryLater,
     kExitTryLater},
    {error_kind::kUnreachable, "unreachable", error_effect::kTryLater,
     kExitTryLater},
    {error_kind::kBadRequest, "bad-request", error_effect::kRefused,
     kExitRefused},
    {error_kind::kUnknownCallKind, "unknown-call-kind", error_effect::kRefused,
     kExitRefused},
    {error_kind::kBusy, "busy", error_effect::kTryLater, kExitTryLater},
    {error_kind::kDeadlineUnmeetable, "deadline-unmeetable",
     error_effect::kTryLater, kExitTryLater},
    {error_kind::kDraining, "draining", error_effect::kTryLater, kExitTryLater},
    {error_kind::kEchoRequired, "echo-required", error_effect::kTryLater,
     kExitTryLater},
    {error_kind::kRunUnknown, "run-unknown", error_effect::kUnknown,
     kExitUnknown},
}};

const error_row& RowOf(error_kind kind) {
  return kErrorTable.at(static_cast<size_t>(kind));
}

std::string_view CodeOf(error_kind kind) { return RowOf(kind).code; }

}  // namespace cardamomroute
