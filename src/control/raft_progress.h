#ifndef CARDAMOMROUTE_CONTROL_RAFT_PROGRESS_H_
#define CARDAMOMROUTE_CONTROL_RAFT_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "absl/time/time.h"
#include "control/raft_types.h"
#include "inner/raft.pb.h"

namespace cardamomroute::control {

/// How a leader brings one member up to date.
enum class raft_replication_mode : uint8_t {
  /// Searches for the last index at which the logs agree; sends no entries.
  kProbe,
  /// Pipelines entries: sends without waiting for earlier answers.
  kStream,
  /// Sends a snapshot, one piece at a time.
  kSnapshot,
};

/// Replication state that a leader keeps for one other member.
class raft_progress {
 public:
  raft_progress(uint64_t last_index, absl::Time now);

  raft_replication_mode Mode() const { return mode_; }
  uint64_t MatchIndex() const { return match_index_; }
  uint64_t NextIndex() const { return next_index_; }
  /// Latest send time, on the leader's clock, of a message that the member has
  /// answered.
  absl::Time LastAnsweredSendTime() const { return last_answered_send_time_; }
  absl::Time LastContact() const { return last_contact_; }

  /// Records the answer to a message sent at `sent_at`.
  void RecordAnswer(absl::Time sent_at, absl::Time now);

  /// Counts the member's silence from `heard_at`, before this leader's term.
  void SetHeardBefore(absl::Time heard_at) { last_contact_ = heard_at; }

  /// Starts tracking a new run of the member's process. Discards everything
  /// that earlier runs acknowledged and returns to probing.
  void BeginRun(uint64_t run, absl::Time now);
  /// The current run; nullopt before the first answer.
  std::optional<uint64_t> Run() const { return run_; }
  /// When the current run was first seen.
  absl::Time RunFirstSeenAt() const { return run_first_seen_at_; }
  /// True if the member's disk is known to hold every committed entry that the
  /// member acknowledged in any run.
  bool IsVerified() const { return verified_; }
  void SetVerified() { verified_ = true; }

  /// True if entries up to `last_index` may be sent now.
  bool MaySendEntries(uint64_t last_index) const;
  /// Records that entries through `last` were sent.
  void RecordSentEntries(uint64_t last);
  /// Records that the member's log matches the leader's through `match`, and
  /// starts pipelining.
  void RecordAccepted(uint64_t match);
  /// True if the refusal of an append after `prev` is not outdated.
  bool IsNewRefusal(uint64_t prev) const;
  /// Switches to probing after `index`, but not below the match index.
  void ProbeAfter(uint64_t index);

  /// Switches to sending `snapshot`; `digest` is its SnapshotDigest().
  void BeginSnapshot(shared_snapshot snapshot, uint64_t digest);
  /// True if a snapshot piece should be sent: no piece is in flight, or the one
  /// in flight has timed out.
  bool MaySendPiece(absl::Time now) const;
  /// Returns the next piece, of at most `max_bytes` data bytes, and starts its
  /// retransmission timeout at `now`.
  inner::raft_snapshot_piece NextPiece(absl::Time now, size_t max_bytes);
  /// Continues at the offset in `answer`, or returns to probing if the member
  /// has installed the snapshot. Ignores answers about other snapshots.
  void RecordSnapshotAnswer(const inner::raft_snapshot_answer& answer);

 private:
  raft_replication_mode mode_ = raft_replication_mode::kProbe;
  uint64_t match_index_ = 0;
  uint64_t next_index_;
  absl::Time last_answered_send_time_ = absl::InfinitePast();
  absl::Time last_contact_;
  std::optional<uint64_t> run_;
  absl::Time run_first_seen_at_ = absl::InfinitePast();
  bool verified_ = false;
  /// Last index of each unanswered append with entries.
  std::deque<uint64_t> in_flight_;
  shared_snapshot snapshot_;
  uint64_t digest_ = 0;
  size_t offset_ = 0;
  absl::Time resend_at_ = absl::InfinitePast();
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_PROGRESS_H_
