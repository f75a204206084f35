#include "control/raft_core.h"

#include <algorithm>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/strings/str_cat.h"

namespace cardamomroute::control {

raft_core::raft_core(const raft_options& options, recovered_state state,
                     uint64_t seed, absl::Time now)
    : options_(options), timer_(seed, now), now_(now) {
  Recover(std::move(state));
}

void raft_core::Recover(recovered_state state) {
  hard_state_ = state.hard_state;
  if (state.snapshot != nullptr) {
    snapshot_ = state.snapshot;
    snapshot_digest_ = SnapshotDigest(snapshot_->data());
    log_.Reset(snapshot_->index(), snapshot_->term());
    history_.Reset(snapshot_->index(),
                   raft_membership(snapshot_->membership()));
    commit_index_ = snapshot_->index();
    delivered_index_ = snapshot_->index();
    // A recovered group stores its first snapshot before its term.
    if (hard_state_.term() < snapshot_->term()) {
      SetHardState(snapshot_->term(), 0);
    }
  }
  for (inner::raft_entry& entry : state.entries) {
    if (entry.index() == log_.LastIndex() + 1) {
      AppendToLog(std::move(entry));
    }
  }
  commit_index_ =
      std::max(commit_index_, std::min(state.committed, log_.LastIndex()));
  synced_index_ = log_.LastIndex();
  first_unstored_index_ = log_.LastIndex() + 1;
  start_position_.set_member(options_.self);
  start_position_.set_run(options_.run);
  start_position_.set_term(hard_state_.term());
  start_position_.set_index(log_.LastIndex());
  verified_ = StartsOf(options_.run) <= 1;
}

raft_core::handler raft_core::HandlerOf(inner::raft_message::BodyCase body) {
  static const absl::flat_hash_map<int, handler> kHandlers = {
      {inner::raft_message::kPreVote, &raft_core::OnPreVote},
      {inner::raft_message::kPreVoteAnswer, &raft_core::OnPreVoteAnswer},
      {inner::raft_message::kVote, &raft_core::OnVote},
      {inner::raft_message::kVoteAnswer, &raft_core::OnVoteAnswer},
      {inner::raft_message::kAppend, &raft_core::OnAppend},
      {inner::raft_message::kAppendAnswer, &raft_core::OnAppendAnswer},
      {inner::raft_message::kSnapshotPiece, &raft_core::OnSnapshotPiece},
      {inner::raft_message::kSnapshotAnswer, &raft_core::OnSnapshotAnswer},
      {inner::raft_message::kTimeoutNow, &raft_core::OnTimeoutNow},
  };
  const auto found = kHandlers.find(body);
  return found == kHandlers.end() ? nullptr : found->second;
}

void raft_core::Step(const inner::raft_message& message, absl::Time now) {
  AdvanceClock(now);
  const handler handle = HandlerOf(message.body_case());
  if (message.to() != options_.self || handle == nullptr || IsHalted() ||
      !ReconcileGroup(message)) {
    return;
  }
  ProcessDiskReports(message);
  if (runs_on_old_copy_) {
    return;
  }
  if (ReconcileTerm(message)) {
    (this->*handle)(message);
  }
}

void raft_core::Tick(absl::Time now) {
  AdvanceClock(now);
  if (IsHalted()) {
    return;
  }
  if (role_ == raft_role::kLeader) {
    TickLeader();
    return;
  }
  if (now_ >= ElectionDeadline()) {
    BeginPreVote();
  }
}

absl::Time raft_core::ElectionDeadline() const {
  if (!Membership().IsVoter(options_.self) || IsHalted()) {
    return absl::InfiniteFuture();
  }
  // No other member can win a quorum without the only voter, so it need not
  // wait for an election timeout.
  const bool is_only_voter =
      role_ == raft_role::kFollower && Membership().VoterCount() == 1;
  return is_only_voter ? now_ : timer_.Deadline();
}

absl::Time raft_core::NextDeadline() const {
  if (role_ == raft_role::kLeader) {
    return std::min({leadership_->HeartbeatAt(), leadership_->StepDownAt(),
                     leadership_->TransferDeadline()});
  }
  return ElectionDeadline();
}

bool raft_core::HasReady() const {
  return hard_state_changed_ || unstored_snapshot_ != nullptr ||
         first_unstored_index_ <= log_.LastIndex() || !messages_now_.empty() ||
         !messages_after_sync_.empty() || delivered_index_ < commit_index_ ||
         CanSendToAnyPeer();
}

raft_ready raft_core::TakeReady() {
  FillPipelines();
  raft_ready ready;
  ready.sequence = ++sequence_;
  if (hard_state_changed_) {
    ready.hard_state = hard_state_;
    hard_state_changed_ = false;
  }
  ready.snapshot = std::move(unstored_snapshot_);
  unstored_snapshot_ = nullptr;
  for (uint64_t index = first_unstored_index_; index <= log_.LastIndex();
       ++index) {
    ready.entries.push_back(log_.At(index));
  }
  first_unstored_index_ = log_.LastIndex() + 1;
  ready.messages_now = std::exchange(messages_now_, {});
  ready.messages_after_sync = std::exchange(messages_after_sync_, {});
  CollectCommitted(ready);
  if (ready.MustSync()) {
    pending_writes_.push_back({ready.sequence, log_.LastIndex(),
                               log_.LastTerm(), hard_state_.term(),
                               hard_state_.voted_for()});
  }
  return ready;
}

void raft_core::CollectCommitted(raft_ready& ready) {
  ready.committed =
      log_.Slice(delivered_index_ + 1, commit_index_, kMaxApplyBytes);
  delivered_index_ += ready.committed.size();
}

void raft_core::Persisted(uint64_t sequence, absl::Time now) {
  AdvanceClock(now);
  while (!pending_writes_.empty() &&
         pending_writes_.front().sequence <= sequence) {
    const pending_write write = pending_writes_.front();
    pending_writes_.pop_front();
    if (log_.Matches(write.last_index, write.last_term)) {
      synced_index_ = std::max(synced_index_, write.last_index);
    }
    if (role_ == raft_role::kCandidate && write.term == Term() &&
        write.voted_for == options_.self) {
      CountVote(options_.self, !verified_);
    }
  }
  if (role_ == raft_role::kLeader) {
    RecordOwnPosition();
    AdvanceCommit();
  }
}

result<shared_snapshot> raft_core::Compact(uint64_t index, std::string data) {
  const std::optional<uint64_t> term = log_.TermAt(index);
  if (index > delivered_index_ || index < SnapshotIndex() || !term) {
    return error{error_kind::kValueOutOfRange, absl::StrCat("index ", index),
                 "the entry is not applied, or is older than the snapshot"};
  }
  auto snapshot = std::make_shared<inner::raft_snapshot_record>();
  snapshot->set_index(index);
  snapshot->set_term(*term);
  *snapshot->mutable_membership() = history_.At(index).ToRecord();
  snapshot_digest_ = SnapshotDigest(data);
  snapshot->set_data(std::move(data));
  snapshot_ = std::move(snapshot);
  log_.Compact(std::min(index, first_unstored_index_ - 1),
               options_.retained_log_bytes);
  history_.Compact(index);
  return snapshot_;
}

bool raft_core::HoldsLease(absl::Time now) const {
  return role_ == raft_role::kLeader &&
         commit_index_ >= leadership_->FirstIndex() && now >= now_ &&
         now < leadership_->LeaseEnd();
}

uint64_t raft_core::SnapshotIndex() const {
  return snapshot_ == nullptr ? 0 : snapshot_->index();
}

void raft_core::AdvanceClock(absl::Time now) { now_ = std::max(now_, now); }

inner::raft_message raft_core::MakeMessage(member_id to) const {
  inner::raft_message message;
  message.set_from(options_.self);
  message.set_to(to);
  message.set_term(Term());
  message.set_run(options_.run);
  message.set_unverified(!verified_);
  for (const member_id lost : lost_disks_) {
    if (Membership().IsVoter(lost)) {
      message.add_lost_voters(lost);
    }
  }
  return message;
}

void raft_core::SendAfterSync(inner::raft_message message) {
  messages_after_sync_.push_back(std::move(message));
}

void raft_core::SendNow(inner::raft_message message) {
  messages_now_.push_back(std::move(message));
}

void raft_core::SetHardState(uint64_t term, member_id voted_for) {
  if (hard_state_.term() == term && hard_state_.voted_for() == voted_for) {
    return;
  }
  hard_state_.set_term(term);
  hard_state_.set_voted_for(voted_for);
  hard_state_changed_ = true;
}

void raft_core::AppendToLog(inner::raft_entry entry) {
  if (entry.has_membership()) {
    history_.Add(entry.index(), raft_membership(entry.membership()));
  }
  log_.Append(std::move(entry));
}

void raft_core::TruncateLog(uint64_t index) {
  log_.TruncateFrom(index);
  history_.TruncateFrom(index);
  synced_index_ = std::min(synced_index_, index - 1);
  first_unstored_index_ = std::min(first_unstored_index_, index);
}

void raft_core::SetCommitIndex(uint64_t index) {
  for (uint64_t passed = commit_index_ + 1; passed <= index; ++passed) {
    uncommitted_bytes_ -=
        std::min(uncommitted_bytes_, log_.At(passed).ByteSizeLong());
  }
  commit_index_ = std::max(commit_index_, index);
}

}  // namespace cardamomroute::control
