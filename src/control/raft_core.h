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
/// Practice", 2014) with pre-vote, check-quorum, leader leases, leadership
/// transfer, pipelined appends, snapshots, single-server membership changes
/// and standbys. The class does no I/O and reads no clock: the caller passes
/// in messages and the time, and raft_ready returns what to store, send and
/// apply.
///
/// A voter whose process restarted may run on an old copy of its disk, which
/// the disk itself cannot reveal. Until a leader verifies such a voter,
/// elections, commits and leases need a quorum without it; one unverified
/// voter is excluded this way. Every entry that the voter acknowledged and
/// every vote that it granted before its disk was rolled back is therefore
/// known to another voter that counts. A leader verifies the voter once the
/// voter's log contains all committed entries and a quorum of the other voters
/// still follows that leader. A member that learns that its disk was once
/// further ahead (see raft_positions) stops taking part.
///
/// This protects against one old copy at a time, and against none while
/// another voter's disk is known to be lost: three voters tolerate only one
/// of these two losses.
///
/// Time must come from a monotonic clock that keeps running while the process
/// is stopped.
class raft_core {
 public:
  /// Starts a member from the state recovered from its disk. A member that may
  /// vote grants no vote for kElectionTimeout after `now`.
  raft_core(const raft_options& options, recovered_state state, uint64_t seed,
            absl::Time now);

  /// Records that members with the name or address of `newcomer`, a VM without
  /// a group that asks to join, have lost their disks.
  void RecordLostDisks(const inner::member_record& newcomer);

  /// True once this member knows that it runs on an old copy of its disk. It
  /// then handles no messages or timers, and the disk's identity must not be
  /// used again.
  bool RunsOnOldCopy() const { return runs_on_old_copy_; }
  /// True once this member knows that another group has replaced its own, see
  /// raft_group.h. It then handles no messages or timers.
  bool IsGroupReplaced() const { return group_replaced_; }
  /// Processes a term that a VM of this or another group reports.
  void ObserveTerm(uint64_t term);
  /// True if a leader made contact, or this member started, less than
  /// kElectionTimeout ago.
  bool HasLeaderContact(absl::Time now) const {
    return timer_.MustWithholdVote(now);
  }
  /// True if this member's vote counts without restriction.
  bool IsVerified() const { return verified_; }

  /// Processes a message; ignores one that is addressed to another member.
  void Step(const inner::raft_message& message, absl::Time now);
  /// Runs the timers that have expired. Call it once `now` reaches
  /// NextDeadline(); an earlier call is harmless.
  void Tick(absl::Time now);
  /// When to call Tick() next; InfiniteFuture if no timer runs.
  absl::Time NextDeadline() const;

  /// Appends a command to the log and returns its index. The command is
  /// accepted only once TakeReady() returns an entry with that index and the
  /// Term() at the time of this call as committed. Fails with kNotLeader, or
  /// with kBusy if too many bytes are uncommitted or a leadership transfer is
  /// in progress.
  result<uint64_t> Propose(std::string command, absl::Time now);
  /// Appends a membership to the log and returns its index. Fails with
  /// kNotLeader; with kBusy while a leadership transfer is in progress, while
  /// an earlier change or the first entry of the term is uncommitted, or if
  /// the standby to promote has not caught up; with kValueOutOfRange if the
  /// change concerns the leader itself; and like raft_membership::After.
  result<uint64_t> ProposeMembership(const membership_change& change,
                                     absl::Time now);
  /// Starts a transfer of the leadership to another voter, which takes over
  /// once it has the whole log. Fails with kNotLeader, with kUnknownMember if
  /// `target` is not another voter, or with kBusy during another transfer.
  result<void> TransferLeadership(member_id target, absl::Time now);

  /// True if TakeReady() would return any work.
  bool HasReady() const;
  /// Returns the pending work and clears it, see raft_ready.
  raft_ready TakeReady();
  /// Reports that the contents of every raft_ready up to `sequence` are synced
  /// to disk.
  void Persisted(uint64_t sequence, absl::Time now);

  /// Makes `data`, the state after the entry at `index`, the snapshot for
  /// members that lag too far behind, and drops older entries from memory.
  /// Returns the record that the caller must store before it drops these
  /// entries from its disk. Fails with kValueOutOfRange if TakeReady() has not
  /// returned `index` as committed, or if `index` is older than the current
  /// snapshot.
  result<shared_snapshot> Compact(uint64_t index, std::string data);

  /// True if no other member can have committed an entry that this leader
  /// lacks, so that the state applied up to CommitIndex() is current. For a
  /// linearizable read, `now` must be read after the request arrives.
  bool HoldsLease(absl::Time now) const;

  member_id Self() const { return options_.self; }
  raft_role Role() const { return role_; }
  uint64_t Term() const { return hard_state_.term(); }
  /// The leader of the current term, 0 if unknown.
  member_id Leader() const { return leader_; }
  uint64_t CommitIndex() const { return commit_index_; }
  uint64_t LastIndex() const { return log_.LastIndex(); }
  /// Size in bytes of the log entries in memory.
  size_t LogBytes() const { return log_.Bytes(); }
  /// Last index that the current snapshot covers, 0 without a snapshot.
  uint64_t SnapshotIndex() const;
  /// The latest membership in the log, committed or not.
  const raft_membership& Membership() const { return history_.Latest(); }
  /// True while a membership change is uncommitted.
  bool IsMembershipChanging() const {
    return history_.LatestIndex() > commit_index_;
  }
  /// Replication status of all members; empty unless this member leads.
  std::vector<raft_member_status> MemberStatuses() const;

 private:
  /// A raft_ready that must be synced, and the state that it makes durable.
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
  inner::raft_message MakeMessage(member_id to) const;
  void SendAfterSync(inner::raft_message message);
  void SendNow(inner::raft_message message);
  void SetHardState(uint64_t term, member_id voted_for);
  void AppendToLog(inner::raft_entry entry);
  void TruncateLog(uint64_t index);
  void SetCommitIndex(uint64_t index);
  void CollectCommitted(raft_ready& ready);

  /// When to start a pre-vote unless a leader makes contact earlier.
  absl::Time ElectionDeadline() const;

  // raft_core_group.cc
  bool ReconcileGroup(const inner::raft_message& message);
  bool IsHalted() const { return runs_on_old_copy_ || group_replaced_; }

  // raft_core_disk.cc
  void RecordPosition(const inner::raft_message& message);
  void RecordOwnPosition();
  bool IsCurrentRun(const inner::raft_message& message,
                    const raft_progress& progress) const;
  void ProcessDiskReports(const inner::raft_message& message);
  void UpdateVerified(const inner::raft_append& append);
  void AddPositions(member_id to, inner::raft_append& append);
  bool HasLostVoter() const;
  size_t ExcludedUnverifiedVoters() const;
  bool IsElectionQuorum(const absl::flat_hash_set<member_id>& voters) const;
  void MaybeVerify(member_id id, raft_progress& progress);

  // raft_core_election.cc
  bool ReconcileTerm(const inner::raft_message& message);
  void RejectStaleTerm(const inner::raft_message& message);
  void BecomeFollower(uint64_t term, member_id leader);
  void BeginPreVote();
  void BeginElection(bool transfer);
  void BecomeLeader();
  void RequestVotes(bool pre, bool transfer);
  void CountVote(member_id voter, bool unverified);
  void CountRejection(member_id voter);
  bool IsUpToDate(const inner::raft_vote_request& request) const;
  void OnPreVote(const inner::raft_message& message);
  void OnPreVoteAnswer(const inner::raft_message& message);
  void OnVote(const inner::raft_message& message);
  void OnVoteAnswer(const inner::raft_message& message);
  void OnTimeoutNow(const inner::raft_message& message);

  // raft_core_follower.cc
  bool AcceptLeader(const inner::raft_message& message);
  void OnAppend(const inner::raft_message& message);
  bool AppendMissingEntries(const inner::raft_append& append);
  void RejectAppend(const inner::raft_message& message);
  void OnSnapshotPiece(const inner::raft_message& message);
  void InstallSnapshot(shared_snapshot snapshot);

  // raft_core_leader.cc
  void TickLeader();
  void SendHeartbeats();
  void SendHeartbeat(member_id to, raft_progress& progress);
  void SendEntries(member_id to, raft_progress& progress);
  void SendSnapshotPiece(member_id to, raft_progress& progress);
  void BeginSnapshotIfNeeded(raft_progress& progress);
  inner::raft_message MakeAppend(member_id to, uint64_t prev_index) const;
  uint64_t LastSendableIndex(member_id to) const;
  void FillPipelines();
  bool CanSendToAnyPeer() const;
  void AdvanceCommit();
  void MaybeSendTimeoutNow();
  raft_progress* RecordPeerContact(const inner::raft_message& message,
                                   int64_t sent_at_us);
  void OnAppendAnswer(const inner::raft_message& message);
  void OnAppendRejected(const inner::raft_message& message,
                        raft_progress& progress);
  void OnSnapshotAnswer(const inner::raft_message& message);
  result<uint64_t> AppendProposal(inner::raft_entry entry);
  result<void> CheckMembershipChange(const membership_change& change) const;
  bool IsCaughtUp(const raft_progress& progress) const;

  raft_options options_;
  raft_election_timer timer_;
  absl::Time now_;
  raft_role role_ = raft_role::kFollower;
  member_id leader_ = 0;
  /// The leader that was heard last, and when.
  member_id heard_leader_ = 0;
  absl::Time leader_heard_at_ = absl::InfinitePast();
  inner::raft_hard_state hard_state_;
  raft_log log_;
  raft_membership_history history_;
  shared_snapshot snapshot_;
  uint64_t snapshot_digest_ = 0;
  raft_snapshot_receiver receiver_;
  uint64_t commit_index_ = 0;
  /// Last index that TakeReady() returned as committed.
  uint64_t delivered_index_ = 0;
  /// Last index that this member has synced.
  uint64_t synced_index_ = 0;
  /// First index that TakeReady() has not yet returned for storage.
  uint64_t first_unstored_index_ = 1;
  size_t uncommitted_bytes_ = 0;
  absl::flat_hash_set<member_id> votes_;
  absl::flat_hash_set<member_id> unverified_votes_;
  absl::flat_hash_set<member_id> rejections_;
  std::optional<raft_leadership> leadership_;

  raft_positions positions_;
  /// Term and last index that the disk held when this run started.
  inner::raft_position start_position_;
  /// Members whose VMs have another disk now.
  absl::flat_hash_set<member_id> lost_disks_;
  bool verified_ = false;
  bool runs_on_old_copy_ = false;
  bool group_replaced_ = false;
  /// Index, modulo the member count, of the member whose positions the next
  /// heartbeat includes.
  size_t next_position_member_ = 0;

  /// Sequence of the latest raft_ready.
  uint64_t sequence_ = 0;
  bool hard_state_changed_ = false;
  /// Snapshot that replaced the log and that TakeReady() has yet to return.
  shared_snapshot unstored_snapshot_;
  std::vector<inner::raft_message> messages_now_;
  std::vector<inner::raft_message> messages_after_sync_;
  std::deque<pending_write> pending_writes_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_CORE_H_
