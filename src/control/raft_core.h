#ifndef CARDAMOMROUTE_CONTROL_RAFT_CORE_H_
#define CARDAMOMROUTE_CONTROL_RAFT_CORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "control/raft_election_timer.h"
#include "control/raft_leadership.h"
#include "control/raft_log.h"
#include "control/raft_membership_history.h"
#include "control/raft_options.h"
#include "control/raft_positions.h"
#include "control/raft_snapshot_receiver.h"
#include "control/raft_types.h"

namespace cardamomroute::control {

/// One member of a Raft group (Ongaro, "Consensus: Bridging Theory and
/// Practice", 2014): pre-vote, check-quorum, leader lease, leadership
/// transfer, pipelined appends, snapshots, single-server membership change
/// and standbys. A pure decision core: it is told of messages and of the
/// time, and hands out what has to be stored, sent and applied.
///
/// A voter whose process has started again may run on an old copy of its disk,
/// and nothing on the disk can tell. Until a leader has verified it, it counts
/// on top of a quorum only: elections, commits and leases pass over one such
/// voter. So an entry that it acknowledged, and a vote that it gave, before
/// its disk was put back are always known to another voter that is counted. A
/// leader verifies it once it has all that is committed, and a quorum of the
/// others still follows that leader. A member that learns that its disk had
/// been further, see raft_positions, takes no part any more.
///
/// One old copy at a time is guarded against, and none while another voter's
/// disk is known to be lost: either is the one loss that three voters stand.
///
/// Time must come from a clock that never goes back and that goes on while
/// the process is stopped.
class raft_core {
 public:
  /// Starts a member from what its disk held. A member that may vote grants
  /// no vote for kElectionTimeout after `now`.
  raft_core(const raft_options& options, recovered_state state, uint64_t seed,
            absl::Time now);

  /// Notes that a VM without a group asks to join: voters of its name or
  /// address have lost their disks.
  void RecordLostVoters(const inner::member_record& newcomer);

  /// True once it is known that this member runs on an old copy of its disk.
  /// It does nothing more; the disk's identity is not to be used again.
  bool RunsOnOldCopy() const { return old_copy_; }
  /// True once it is known that another group has replaced that of this
  /// member, see raft_group.h. It does nothing more and answers nobody.
  bool IsGroupReplaced() const { return replaced_; }
  /// Notes a term that a VM of a group has, be it this group or another one.
  void ObserveTerm(uint64_t term);
  /// True if a leader was heard of for less than kElectionTimeout.
  bool HasLeaderContact(absl::Time now) const {
    return timer_.PromiseHeld(now);
  }
  /// True if this member's vote counts in full.
  bool IsVerified() const { return verified_; }

  /// Takes a message. One that is not addressed to this member is ignored.
  void Step(const inner::raft_message& message, absl::Time now);
  /// To be called once `now` has reached NextDeadline(); harmless earlier.
  void Tick(absl::Time now);
  absl::Time NextDeadline() const;

  /// Adds a command to the log and returns its index. The command is accepted
  /// only once an entry of that index and of the present Term() is handed out
  /// as committed. Fails with kNotLeader, or with kBusy where too much is
  /// uncommitted or the leadership is being handed over.
  result<uint64_t> Propose(std::string command, absl::Time now);
  /// Adds a membership to the log and returns its index. Fails with
  /// kNotLeader; with kBusy while an earlier change or the first entry of the
  /// term is uncommitted, or where a standby to promote is not caught up;
  /// with kValueOutOfRange where the leader itself is to be demoted; and as
  /// raft_membership::After.
  result<uint64_t> ProposeMembership(const membership_change& change,
                                     absl::Time now);
  /// Hands the leadership to a voter once that has the whole log. Fails with
  /// kNotLeader, kUnknownMember or kBusy (another transfer is under way).
  result<void> TransferLeadership(member_id target, absl::Time now);

  /// True if TakeReady() would hand out anything.
  bool HasReady() const;
  /// Takes what is to be done, see raft_ready.
  raft_ready TakeReady();
  /// All that was handed out with sequences up to this one is synced.
  void Persisted(uint64_t sequence, absl::Time now);

  /// Keeps `data` as the state after the entry at `index`, for members that
  /// are too far behind, and drops older entries. Returns the record that the
  /// caller has to store before it drops these entries from its disk. Fails
  /// with kValueOutOfRange if `index` was not handed out as committed or is
  /// older than the snapshot held.
  result<shared_snapshot> Compact(uint64_t index, std::string data);

  /// True if no other member can have committed anything that this leader
  /// does not know of: what is applied up to CommitIndex() is the present
  /// state. `now` must have been read after the question came in.
  bool HoldsLease(absl::Time now) const;

  member_id Self() const { return options_.self; }
  raft_role Role() const { return role_; }
  uint64_t Term() const { return hard_state_.term(); }
  /// The leader of the present term, 0 where none is known.
  member_id Leader() const { return leader_; }
  uint64_t CommitIndex() const { return commit_index_; }
  uint64_t LastIndex() const { return log_.LastIndex(); }
  /// Bytes of the entries in memory.
  size_t LogBytes() const { return log_.Bytes(); }
  /// Index of the snapshot held, 0 where there is none.
  uint64_t SnapshotIndex() const;
  /// The membership in force here.
  const raft_membership& Membership() const { return history_.Latest(); }
  /// True while a change of membership is uncommitted.
  bool IsMembershipChanging() const {
    return history_.LatestIndex() > commit_index_;
  }
  /// What the leader knows of the others; empty on any other member.
  std::vector<raft_member_status> MemberStatuses() const;

 private:
  struct pending_write {
    uint64_t sequence = 0;
    uint64_t last_index = 0;
    uint64_t last_term = 0;
    uint64_t term = 0;
    member_id voted_for = 0;
  };
  using handler = void (raft_core::*)(const inner::raft_message&);
  static handler HandlerOf(inner::raft_message::BodyCase body);

  // raft_core.cc
  void Recover(recovered_state state);
  void AdvanceClock(absl::Time now);
  inner::raft_message MessageTo(member_id to) const;
  void SendAfterSync(inner::raft_message message);
  void SendNow(inner::raft_message message);
  void SetHardState(uint64_t term, member_id voted_for);
  void AppendToLog(inner::raft_entry entry);
  void TruncateLog(uint64_t index);
  void SetCommitIndex(uint64_t index);
  void CollectCommitted(raft_ready& ready);

  /// When to stand for election unless a leader is heard before.
  absl::Time ElectionDeadline() const;

  // raft_core_group.cc
  bool AdmitGroup(const inner::raft_message& message);
  bool IsOut() const { return old_copy_ || replaced_; }

  // raft_core_disk.cc
  void NotePosition(const inner::raft_message& message);
  void NoteOwnPosition();
  bool IsPresentRun(const inner::raft_message& message,
                    const raft_progress& progress) const;
  void HearOfDisks(const inner::raft_message& message);
  void TakeVerdict(const inner::raft_append& append);
  void TellPositions(member_id to, inner::raft_append& append);
  bool HasLostVoter() const;
  size_t Doubted() const;
  bool IsElectedBy(const absl::flat_hash_set<member_id>& voters) const;
  void VerifyIfDue(member_id id, raft_progress& progress);

  // raft_core_election.cc
  bool AdmitTerm(const inner::raft_message& message);
  void AnswerOldTerm(const inner::raft_message& message);
  void BecomeFollower(uint64_t term, member_id leader);
  void BeginPreVote();
  void BeginElection(bool transfer);
  void BecomeLeader();
  void AskForVotes(bool pre, bool transfer);
  void CountVote(member_id voter, bool unverified);
  void CountRefusal(member_id voter);
  bool IsUpToDate(const inner::raft_vote_request& request) const;
  void OnPreVote(const inner::raft_message& message);
  void OnPreVoteAnswer(const inner::raft_message& message);
  void OnVote(const inner::raft_message& message);
  void OnVoteAnswer(const inner::raft_message& message);
  void OnTimeoutNow(const inner::raft_message& message);

  // raft_core_follower.cc
  bool HearLeader(const inner::raft_message& message);
  void OnAppend(const inner::raft_message& message);
  bool TakeEntries(const inner::raft_append& append);
  void RefuseAppend(const inner::raft_message& message);
  void OnSnapshotPiece(const inner::raft_message& message);
  void Install(shared_snapshot snapshot);

  // raft_core_leader.cc
  void TickLeader();
  void SendHeartbeats();
  void SendHeartbeat(member_id to, raft_progress& progress);
  void SendEntries(member_id to, raft_progress& progress);
  void SendPiece(member_id to, raft_progress& progress);
  void BeginSnapshotIfNeeded(raft_progress& progress);
  inner::raft_message AppendTo(member_id to, uint64_t prev_index) const;
  uint64_t SendLimit(member_id to) const;
  void FillPipelines();
  bool MaySendAny() const;
  void AdvanceCommit();
  void TryTransfer();
  raft_progress* HearMember(const inner::raft_message& message,
                            int64_t sent_at_us);
  void OnAppendAnswer(const inner::raft_message& message);
  void OnRefusal(const inner::raft_message& message, raft_progress& progress);
  void OnSnapshotAnswer(const inner::raft_message& message);
  result<uint64_t> AppendOwn(inner::raft_entry entry);
  result<void> CheckChange(const membership_change& change) const;
  bool IsCaughtUp(const raft_progress& progress) const;

  raft_options options_;
  raft_election_timer timer_;
  absl::Time now_;
  raft_role role_ = raft_role::kFollower;
  member_id leader_ = 0;
  inner::raft_hard_state hard_state_;
  raft_log log_;
  raft_membership_history history_;
  shared_snapshot snapshot_;
  uint64_t snapshot_digest_ = 0;
  raft_snapshot_receiver receiver_;
  uint64_t commit_index_ = 0;
  /// Last index handed out as committed.
  uint64_t handed_out_index_ = 0;
  /// Last index that this member has synced.
  uint64_t synced_index_ = 0;
  /// First index that was not yet handed out to be stored.
  uint64_t unstored_index_ = 1;
  size_t uncommitted_bytes_ = 0;
  absl::flat_hash_set<member_id> votes_;
  absl::flat_hash_set<member_id> unverified_votes_;
  absl::flat_hash_set<member_id> refusals_;
  std::optional<raft_leadership> leadership_;

  raft_positions positions_;
  /// What the disk held at start.
  inner::raft_position start_position_;
  absl::flat_hash_set<member_id> lost_voters_;
  bool verified_ = false;
  bool old_copy_ = false;
  bool replaced_ = false;
  /// Which member the next heartbeat tells of.
  size_t told_of_ = 0;

  uint64_t sequence_ = 0;
  bool hard_state_changed_ = false;
  shared_snapshot installed_;
  std::vector<inner::raft_message> messages_now_;
  std::vector<inner::raft_message> messages_after_sync_;
  std::deque<pending_write> pending_writes_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_CORE_H_
