#ifndef CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_
#define CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "view/view.h"

namespace cardamomroute::control {

/// A member that heard from a leader grants no vote for this long on its own
/// clock. Elections begin after once to twice this time.
inline constexpr absl::Duration kElectionTimeout = absl::Milliseconds(700);

/// How often a leader contacts every member.
inline constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(100);

/// How long a leader relies on a contact with a quorum, from the moment at
/// which it sent the message that was answered. Shorter than
/// kElectionTimeout, so that clocks may run up to 7% fast or slow.
inline constexpr absl::Duration kLeaderLease = absl::Milliseconds(600);

/// Entries of one append, in bytes; a single larger entry still goes out.
inline constexpr size_t kMaxAppendBytes = 256 << 10;

/// Appends with entries that may be unanswered at one member.
inline constexpr size_t kMaxAppendsInFlight = 16;

/// Bytes of one piece of a snapshot.
inline constexpr size_t kMaxSnapshotPieceBytes = 256 << 10;

/// Entries handed out for application at once, in bytes.
inline constexpr size_t kMaxApplyBytes = 4 << 20;

/// Entries that are kept although a snapshot covers them, in bytes, so that a
/// member that is a little behind needs no snapshot.
inline constexpr size_t kRetainedLogBytes = 1 << 20;

/// Uncommitted entries at which a leader accepts no more commands, in bytes.
inline constexpr size_t kMaxUncommittedBytes = 16 << 20;

/// A member that lacks at most this many entries counts as caught up.
inline constexpr uint64_t kCaughtUpEntries = 64;

/// Members at most: voters and standbys.
inline constexpr size_t kMaxMembers = 7;

/// The member's identity and the limits that it keeps to.
struct raft_options {
  /// Identity of the disk; never 0.
  member_id self = 0;
  /// This run of the process on that disk, see RunOf(). The first run of a
  /// disk has nothing that an old copy could have lost.
  uint64_t run = 0;
  /// Whether a disk may turn out to be an old copy of itself. Where VMs cannot
  /// come back on a former state of their disk, voters that start again count
  /// at once.
  bool guards_old_copies = true;
  size_t max_append_bytes = kMaxAppendBytes;
  size_t max_snapshot_piece_bytes = kMaxSnapshotPieceBytes;
  size_t retained_log_bytes = kRetainedLogBytes;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_
