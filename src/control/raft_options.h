#ifndef CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_
#define CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_

#include <cstddef>
#include <cstdint>

#include "absl/time/time.h"
#include "view/view.h"

namespace cardamomroute::control {

/// After a message from a leader, a member grants no vote for this long on its
/// own clock. The randomized election timeout is one to two times this value.
inline constexpr absl::Duration kElectionTimeout = absl::Milliseconds(700);

/// Interval of the heartbeats that a leader sends to every member.
inline constexpr absl::Duration kHeartbeatInterval = absl::Milliseconds(100);

/// Duration of the leader lease, counted from the time at which the leader sent
/// the message that a quorum answered. Shorter than kElectionTimeout, which
/// tolerates clocks that run up to 7% fast or slow.
inline constexpr absl::Duration kLeaderLease = absl::Milliseconds(600);

/// Maximum bytes of entries in one append. A larger entry is sent alone.
inline constexpr size_t kMaxAppendBytes = 256 << 10;

/// Maximum unanswered appends with entries per member.
inline constexpr size_t kMaxAppendsInFlight = 16;

/// Maximum bytes of one snapshot piece.
inline constexpr size_t kMaxSnapshotPieceBytes = 256 << 10;

/// Maximum bytes of committed entries in one raft_ready.
inline constexpr size_t kMaxApplyBytes = 4 << 20;

/// Bytes of entries kept in the log although a snapshot covers them, so that a
/// member that lags slightly needs no snapshot.
inline constexpr size_t kRetainedLogBytes = 1 << 20;

/// Bytes of uncommitted entries above which a leader rejects commands.
inline constexpr size_t kMaxUncommittedBytes = 16 << 20;

/// A member that lags by at most this many entries counts as caught up.
inline constexpr uint64_t kCaughtUpEntries = 64;

/// Maximum number of members, voters and standbys together.
inline constexpr size_t kMaxMembers = 7;

/// Identity and limits of one Raft member.
struct raft_options {
  /// Id of this member's disk; never 0.
  member_id self = 0;
  /// This run of the process on that disk, see RunOf(). A member is verified
  /// from the start on the first run of its disk, because there is no earlier
  /// state that an old copy could lack.
  uint64_t run = 0;
  /// True if a VM may be restored with an old copy of its disk. If false,
  /// restarted voters count toward a quorum at once, without verification.
  bool guards_old_copies = true;
  size_t max_append_bytes = kMaxAppendBytes;
  size_t max_snapshot_piece_bytes = kMaxSnapshotPieceBytes;
  size_t retained_log_bytes = kRetainedLogBytes;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_OPTIONS_H_
