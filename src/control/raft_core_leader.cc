#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/raft_core.h"

namespace cardamomroute::control {

void raft_core::TickLeader() {
  if (now_ >= leadership_->StepDownAt()) {
    BecomeFollower(Term(), 0);
    return;
  }
  if (now_ >= leadership_->TransferDeadline()) {
    if (leadership_->IsTransferSent()) {
      BecomeFollower(Term(), 0);
      return;
    }
    leadership_->CancelTransfer();
  }
  if (now_ >= leadership_->HeartbeatAt()) {
    SendHeartbeats();
  }
}

void raft_core::SendHeartbeats() {
  leadership_->SetHeartbeatAt(now_ + kHeartbeatInterval);
  for (auto& [id, progress] : leadership_->Peers()) {
    SendHeartbeat(id, progress);
  }
}

/// Sends an append without entries. It renews the lease, carries the commit
/// index and detects lost entries.
void raft_core::SendHeartbeat(member_id to, raft_progress& progress) {
  BeginSnapshotIfNeeded(progress);
  const bool snapshot = progress.Mode() == raft_replication_mode::kSnapshot;
  inner::raft_message message =
      MakeAppend(to, snapshot ? log_.BaseIndex() : progress.NextIndex() - 1);
  AddPositions(to, *message.mutable_append());
  if (progress.IsVerified()) {
    message.mutable_append()->set_verified_run(*progress.Run());
  }
  SendNow(std::move(message));
}

inner::raft_message raft_core::MakeAppend(member_id to,
                                          uint64_t prev_index) const {
  inner::raft_message message = MakeMessage(to);
  inner::raft_append* append = message.mutable_append();
  append->set_prev_index(prev_index);
  append->set_prev_term(log_.TermAt(prev_index).value_or(0));
  append->set_commit_index(commit_index_);
  append->set_sent_at_us(absl::ToUnixMicros(now_));
  return message;
}

void raft_core::BeginSnapshotIfNeeded(raft_progress& progress) {
  if (progress.Mode() != raft_replication_mode::kSnapshot &&
      progress.NextIndex() <= log_.BaseIndex()) {
    progress.BeginSnapshot(snapshot_, snapshot_digest_);
  }
}

bool raft_core::CanSendToAnyPeer() const {
  if (role_ != raft_role::kLeader) {
    return false;
  }
  for (const auto& [id, progress] : leadership_->Peers()) {
    if (progress.MaySendEntries(LastSendableIndex(id)) ||
        progress.MaySendPiece(now_)) {
      return true;
    }
  }
  return false;
}

/// Last index that may be sent to a member. Standbys receive only committed
/// entries (Copycat, 6.4): with uncommitted entries of a leader that then
/// fails, a standby would deny its vote to the only candidate that counts it
/// as a voter, and would not start an election itself.
uint64_t raft_core::LastSendableIndex(member_id to) const {
  return Membership().IsVoter(to) ? LastIndex() : commit_index_;
}

/// Sends as many entries and snapshot pieces as the peers' send windows allow.
/// Commands proposed since the last call are batched into shared appends.
void raft_core::FillPipelines() {
  if (role_ != raft_role::kLeader) {
    return;
  }
  for (auto& [id, progress] : leadership_->Peers()) {
    BeginSnapshotIfNeeded(progress);
    while (progress.MaySendEntries(LastSendableIndex(id))) {
      SendEntries(id, progress);
    }
    if (progress.MaySendPiece(now_)) {
      SendSnapshotPiece(id, progress);
    }
  }
}

void raft_core::SendEntries(member_id to, raft_progress& progress) {
  inner::raft_message message = MakeAppend(to, progress.NextIndex() - 1);
  std::vector<inner::raft_entry> entries = log_.Slice(
      progress.NextIndex(), LastSendableIndex(to), options_.max_append_bytes);
  progress.RecordSentEntries(entries.back().index());
  for (inner::raft_entry& entry : entries) {
    *message.mutable_append()->add_entries() = std::move(entry);
  }
  SendNow(std::move(message));
}

void raft_core::SendSnapshotPiece(member_id to, raft_progress& progress) {
  inner::raft_message message = MakeMessage(to);
  *message.mutable_snapshot_piece() =
      progress.NextPiece(now_, options_.max_snapshot_piece_bytes);
  SendNow(std::move(message));
}

/// Advances the commit index to the last entry that a quorum has stored, if
/// that entry is of the current term (Ongaro, section 3.6.2).
void raft_core::AdvanceCommit() {
  const uint64_t index = leadership_->QuorumIndex(
      Membership(), ExcludedUnverifiedVoters(), synced_index_);
  if (index > commit_index_ && log_.Matches(index, Term())) {
    SetCommitIndex(index);
  }
}

/// Records contact with the sender and returns its progress. Null if this
/// member does not lead, the sender is not a member, or the message is not of
/// its current run, see IsCurrentRun().
raft_progress* raft_core::RecordPeerContact(const inner::raft_message& message,
                                            int64_t sent_at_us) {
  if (role_ != raft_role::kLeader) {
    return nullptr;
  }
  raft_progress* progress = leadership_->FindPeer(message.from());
  if (progress == nullptr || !IsCurrentRun(message, *progress)) {
    return nullptr;
  }
  if (progress->Run() != message.run()) {
    progress->BeginRun(message.run(), now_);
  }
  if (!message.unverified()) {
    progress->SetVerified();
  }
  progress->RecordAnswer(absl::FromUnixMicros(sent_at_us), now_);
  leadership_->UpdateLease(Membership(), ExcludedUnverifiedVoters());
  return progress;
}

void raft_core::OnAppendAnswer(const inner::raft_message& message) {
  const inner::raft_append_answer& answer = message.append_answer();
  raft_progress* progress = RecordPeerContact(message, answer.sent_at_us());
  if (progress == nullptr) {
    return;
  }
  if (!answer.accepted()) {
    OnAppendRejected(message, *progress);
    return;
  }
  const bool in_snapshot = progress->Mode() == raft_replication_mode::kSnapshot;
  if (in_snapshot && answer.match_index() < log_.BaseIndex()) {
    return;
  }
  progress->RecordAccepted(answer.match_index());
  MaybeVerify(message.from(), *progress);
  AdvanceCommit();
  MaybeSendTimeoutNow();
}

void raft_core::OnAppendRejected(const inner::raft_message& message,
                                 raft_progress& progress) {
  const inner::raft_append_answer& answer = message.append_answer();
  if (!progress.IsNewRefusal(answer.prev_index())) {
    return;
  }
  uint64_t last_common = answer.hint_index();
  if (last_common >= log_.BaseIndex()) {
    last_common = log_.LastIndexUpToTerm(last_common, answer.hint_term());
  }
  progress.ProbeAfter(std::min(last_common, answer.prev_index() - 1));
  SendHeartbeat(message.from(), progress);
}

void raft_core::OnSnapshotAnswer(const inner::raft_message& message) {
  const inner::raft_snapshot_answer& answer = message.snapshot_answer();
  raft_progress* progress = RecordPeerContact(message, answer.sent_at_us());
  if (progress == nullptr) {
    return;
  }
  progress->RecordSnapshotAnswer(answer);
  if (progress->Mode() == raft_replication_mode::kProbe) {
    SendHeartbeat(message.from(), *progress);
  }
}

result<uint64_t> raft_core::AppendProposal(inner::raft_entry entry) {
  const uint64_t index = LastIndex() + 1;
  entry.set_index(index);
  entry.set_term(Term());
  uncommitted_bytes_ += entry.ByteSizeLong();
  AppendToLog(std::move(entry));
  return index;
}

result<uint64_t> raft_core::Propose(std::string command, absl::Time now) {
  AdvanceClock(now);
  if (role_ != raft_role::kLeader) {
    return error{error_kind::kNotLeader, "", "not the leader"};
  }
  if (leadership_->TransferTarget() != 0) {
    return error{error_kind::kBusy, "", "leadership is being handed over"};
  }
  if (uncommitted_bytes_ + command.size() > kMaxUncommittedBytes &&
      uncommitted_bytes_ > 0) {
    return error{error_kind::kBusy, "", "too much is uncommitted"};
  }
  inner::raft_entry entry;
  entry.set_command(std::move(command));
  return AppendProposal(std::move(entry));
}

result<uint64_t> raft_core::ProposeMembership(const membership_change& change,
                                              absl::Time now) {
  AdvanceClock(now);
  BOOST_OUTCOME_TRYV(CheckMembershipChange(change));
  BOOST_OUTCOME_TRY(new_membership, Membership().After(change));
  inner::raft_entry entry;
  *entry.mutable_membership() = new_membership.ToRecord();
  result<uint64_t> index = AppendProposal(std::move(entry));
  leadership_->SetMembership(Membership(), ExcludedUnverifiedVoters(),
                             LastIndex(), now_);
  AdvanceCommit();
  return index;
}

/// Allows one change at a time, and only after this term's first entry is
/// committed: otherwise two leaders could have disjoint quorums (Ongaro, "bug
/// in single-server membership changes", raft-dev, 2015).
result<void> raft_core::CheckMembershipChange(
    const membership_change& change) const {
  const member_id id = change.member.id();
  const std::string place = absl::StrCat("member ", id);
  if (role_ != raft_role::kLeader) {
    return error{error_kind::kNotLeader, place, "not the leader"};
  }
  if (leadership_->TransferTarget() != 0 || IsMembershipChanging() ||
      commit_index_ < leadership_->FirstIndex()) {
    return error{error_kind::kBusy, place,
                 "a membership change or leadership transfer is in progress, "
                 "or the term's first entry is uncommitted"};
  }
  if (id == options_.self) {
    return error{error_kind::kValueOutOfRange, place,
                 "the leader cannot change its own membership"};
  }
  if (change.kind == membership_change_kind::kPromote) {
    const auto peer = leadership_->Peers().find(id);
    if (peer != leadership_->Peers().end() && !IsCaughtUp(peer->second)) {
      return error{error_kind::kBusy, place,
                   "the standby's log is not caught up"};
    }
  }
  return boost::outcome_v2::success();
}

bool raft_core::IsCaughtUp(const raft_progress& progress) const {
  return progress.IsVerified() && progress.MatchIndex() > 0 &&
         progress.MatchIndex() + kCaughtUpEntries >= LastIndex();
}

result<void> raft_core::TransferLeadership(member_id target, absl::Time now) {
  AdvanceClock(now);
  const std::string place = absl::StrCat("member ", target);
  if (role_ != raft_role::kLeader) {
    return error{error_kind::kNotLeader, place, "not the leader"};
  }
  if (target == options_.self || !Membership().IsVoter(target)) {
    return error{error_kind::kUnknownMember, place,
                 "the transfer target is not another voter"};
  }
  if (leadership_->TransferTarget() != 0) {
    return error{error_kind::kBusy, place,
                 "another leadership transfer is in progress"};
  }
  leadership_->BeginTransfer(target, now_ + kElectionTimeout);
  MaybeSendTimeoutNow();
  return boost::outcome_v2::success();
}

/// Tells the transfer target to start an election (TimeoutNow) once it is
/// verified and has the whole log.
void raft_core::MaybeSendTimeoutNow() {
  const member_id target = leadership_->TransferTarget();
  raft_progress* progress = leadership_->FindPeer(target);
  if (progress == nullptr || leadership_->IsTransferSent() ||
      !progress->IsVerified() || progress->MatchIndex() < LastIndex()) {
    return;
  }
  inner::raft_message message = MakeMessage(target);
  message.mutable_timeout_now();
  SendNow(std::move(message));
  leadership_->MarkTransferSent();
}

std::vector<raft_member_status> raft_core::MemberStatuses() const {
  std::vector<raft_member_status> statuses;
  if (role_ != raft_role::kLeader) {
    return statuses;
  }
  for (const inner::member_record& member : Membership().Members()) {
    raft_member_status status;
    status.member = member;
    status.disk_lost = lost_disks_.contains(member.id());
    const auto peer = leadership_->Peers().find(member.id());
    if (peer == leadership_->Peers().end()) {
      status.last_contact = now_;
      status.match_index = LastIndex();
      status.caught_up = true;
    } else {
      status.last_contact = peer->second.LastContact();
      status.match_index = peer->second.MatchIndex();
      status.caught_up = IsCaughtUp(peer->second);
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace cardamomroute::control
