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
  /// Looks for the last index at which the logs agree; sends no entries.
  kProbe,
  /// Sends entries without waiting for the answers of earlier ones.
  kStream,
  /// Sends a snapshot, one piece after the other.
  kSnapshot,
};

/// What a leader knows of one other member, and what it sends next.
class raft_progress {
 public:
  raft_progress(uint64_t last_index, absl::Time now);

  raft_replication_mode Mode() const { return mode_; }
  uint64_t MatchIndex() const { return match_index_; }
  uint64_t NextIndex() const { return next_index_; }
  /// Latest moment, on the leader's clock, at which a message was sent that
  /// the member has answered.
  absl::Time LastAnsweredSendTime() const { return answered_sent_at_; }
  absl::Time LastContact() const { return last_contact_; }

  /// An answer to a message that was sent at `sent_at` has arrived.
  void RecordAnswer(absl::Time sent_at, absl::Time now);

  /// The member answers from another run of its process: nothing that earlier
  /// runs acknowledged counts any more.
  void BeginRun(uint64_t run, absl::Time now);
  /// The run that answers; none before the first answer.
  std::optional<uint64_t> Run() const { return run_; }
  absl::Time RunFirstSeenAt() const { return run_heard_at_; }
  /// True if the member's disk is known to hold all that it acknowledged in
  /// any run and that was committed.
  bool IsVerified() const { return verified_; }
  void SetVerified() { verified_ = true; }

  /// True if entries up to `last_index` may be sent now.
  bool MaySendEntries(uint64_t last_index) const;
  /// Entries up to `last` have been sent.
  void RecordSentEntries(uint64_t last);
  /// The member's log equals the leader's up to `match`.
  void RecordAccepted(uint64_t match);
  /// True if the refusal of an append after `prev` tells anything new.
  bool IsNewRefusal(uint64_t prev) const;
  /// Goes on probing after `index`.
  void ProbeAfter(uint64_t index);

  /// Starts to send `snapshot`.
  void BeginSnapshot(shared_snapshot snapshot, uint64_t digest);
  /// True where a piece is to be sent: none is unanswered, or its answer is
  /// overdue.
  bool MaySendPiece(absl::Time now) const;
  /// The next piece, of at most `max_bytes`; it counts as sent at `now`.
  inner::raft_snapshot_piece NextPiece(absl::Time now, size_t max_bytes);
  /// The member misses the bytes from the answer's offset on, or has
  /// installed the snapshot.
  void RecordSnapshotAnswer(const inner::raft_snapshot_answer& answer);

 private:
  raft_replication_mode mode_ = raft_replication_mode::kProbe;
  uint64_t match_index_ = 0;
  uint64_t next_index_;
  absl::Time answered_sent_at_ = absl::InfinitePast();
  absl::Time last_contact_;
  std::optional<uint64_t> run_;
  absl::Time run_heard_at_ = absl::InfinitePast();
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
