#include <algorithm>
#include <utility>

#include "control/raft_core.h"

namespace cardamomroute::control {

/// Follows the sender, the leader of the current term, and restarts the period
/// in which this member grants no vote. False if this member leads that term.
bool raft_core::AcceptLeader(const inner::raft_message& message) {
  if (role_ == raft_role::kLeader) {
    return false;
  }
  if (role_ != raft_role::kFollower || leader_ != message.from()) {
    BecomeFollower(Term(), message.from());
  }
  timer_.OnLeaderContact(now_);
  heard_leader_ = message.from();
  leader_heard_at_ = now_;
  return true;
}

void raft_core::OnAppend(const inner::raft_message& message) {
  if (!AcceptLeader(message)) {
    return;
  }
  const inner::raft_append& append = message.append();
  UpdateVerified(append);
  const bool before_base = append.prev_index() < log_.BaseIndex();
  if (!before_base && !log_.Matches(append.prev_index(), append.prev_term())) {
    RejectAppend(message);
    return;
  }
  if (!AppendMissingEntries(append)) {
    return;
  }
  const uint64_t match =
      append.prev_index() + static_cast<uint64_t>(append.entries_size());
  const uint64_t commit =
      std::min({append.commit_index(), match, log_.LastIndex()});
  if (commit > commit_index_) {
    SetCommitIndex(commit);
  }
  inner::raft_message answer = MakeMessage(message.from());
  inner::raft_append_answer* body = answer.mutable_append_answer();
  body->set_accepted(true);
  body->set_prev_index(append.prev_index());
  body->set_match_index(match);
  body->set_sent_at_us(append.sent_at_us());
  SendAfterSync(std::move(answer));
}

/// Appends the entries that the log lacks and replaces uncommitted ones that
/// conflict. False if the append has a gap or conflicts with a committed entry;
/// the caller then ignores the message.
bool raft_core::AppendMissingEntries(const inner::raft_append& append) {
  uint64_t expected = append.prev_index();
  for (const inner::raft_entry& entry : append.entries()) {
    ++expected;
    if (entry.index() != expected) {
      return false;
    }
    if (entry.index() <= log_.BaseIndex() ||
        log_.Matches(entry.index(), entry.term())) {
      continue;
    }
    if (entry.index() <= commit_index_) {
      return false;
    }
    if (entry.index() <= log_.LastIndex()) {
      TruncateLog(entry.index());
    }
    AppendToLog(entry);
  }
  return true;
}

void raft_core::RejectAppend(const inner::raft_message& message) {
  const inner::raft_append& append = message.append();
  inner::raft_message answer = MakeMessage(message.from());
  inner::raft_append_answer* body = answer.mutable_append_answer();
  const uint64_t hint =
      log_.LastIndexUpToTerm(append.prev_index(), append.prev_term());
  body->set_accepted(false);
  body->set_prev_index(append.prev_index());
  body->set_hint_index(hint);
  body->set_hint_term(log_.TermAt(hint).value_or(0));
  body->set_sent_at_us(append.sent_at_us());
  SendAfterSync(std::move(answer));
}

void raft_core::OnSnapshotPiece(const inner::raft_message& message) {
  if (!AcceptLeader(message)) {
    return;
  }
  const inner::raft_snapshot_piece& piece = message.snapshot_piece();
  if (piece.index() > commit_index_) {
    shared_snapshot whole = receiver_.AddPiece(piece);
    if (whole != nullptr) {
      InstallSnapshot(std::move(whole));
    }
  }
  inner::raft_message answer = MakeMessage(message.from());
  inner::raft_snapshot_answer* body = answer.mutable_snapshot_answer();
  body->set_index(piece.index());
  body->set_digest(piece.digest());
  body->set_installed(piece.index() <= commit_index_);
  body->set_next_offset(receiver_.NextOffset());
  body->set_sent_at_us(piece.sent_at_us());
  SendAfterSync(std::move(answer));
}

/// Replaces the log with the snapshot. If the log contains the last entry that
/// the snapshot covers, only advances the commit index: this member may have
/// acknowledged later entries, which must stay.
void raft_core::InstallSnapshot(shared_snapshot snapshot) {
  if (log_.Matches(snapshot->index(), snapshot->term())) {
    SetCommitIndex(snapshot->index());
    return;
  }
  log_.Reset(snapshot->index(), snapshot->term());
  history_.Reset(snapshot->index(), raft_membership(snapshot->membership()));
  commit_index_ = snapshot->index();
  delivered_index_ = snapshot->index();
  synced_index_ = std::min(synced_index_, snapshot->index());
  first_unstored_index_ = snapshot->index() + 1;
  snapshot_digest_ = SnapshotDigest(snapshot->data());
  snapshot_ = snapshot;
  unstored_snapshot_ = std::move(snapshot);
}

}  // namespace cardamomroute::control
