#include <utility>

#include "control/raft_core.h"

namespace cardamomroute::control {

/// Steps down if the message has a newer term that this member accepts, and
/// answers a message with an older one. True if the message must be handled.
bool raft_core::ReconcileTerm(const inner::raft_message& message) {
  if (message.term() < Term()) {
    RejectStaleTerm(message);
    return false;
  }
  if (message.term() == Term() || message.has_pre_vote()) {
    return true;
  }
  if (message.has_pre_vote_answer() && message.pre_vote_answer().granted()) {
    return true;
  }
  if (message.has_vote() && !message.vote().transfer() &&
      (role_ == raft_role::kLeader || timer_.MustWithholdVote(now_))) {
    return false;
  }
  BecomeFollower(message.term(), 0);
  return true;
}

/// Reports the current term to a leader or candidate with an older term.
void raft_core::RejectStaleTerm(const inner::raft_message& message) {
  inner::raft_message answer = MakeMessage(message.from());
  if (message.has_append() || message.has_snapshot_piece()) {
    answer.mutable_append_answer()->set_accepted(false);
  } else if (message.has_pre_vote()) {
    answer.mutable_pre_vote_answer()->set_granted(false);
  } else if (message.has_vote()) {
    answer.mutable_vote_answer()->set_granted(false);
  } else {
    return;
  }
  SendAfterSync(std::move(answer));
}

void raft_core::BecomeFollower(uint64_t term, member_id leader) {
  if (term != Term()) {
    SetHardState(term, 0);
  }
  if (role_ == raft_role::kLeader) {
    timer_.Restart(now_);
  }
  role_ = raft_role::kFollower;
  leader_ = leader;
  leadership_.reset();
  votes_.clear();
  unverified_votes_.clear();
  rejections_.clear();
}

/// Checks whether this member could win an election, without disrupting a
/// leader that other members still follow (Ongaro, section 9.6).
void raft_core::BeginPreVote() {
  BecomeFollower(Term(), 0);
  role_ = raft_role::kPreCandidate;
  timer_.Restart(now_);
  RequestVotes(true, false);
  CountVote(options_.self, !verified_);
}

void raft_core::BeginElection(bool transfer) {
  BecomeFollower(Term(), 0);
  role_ = raft_role::kCandidate;
  SetHardState(Term() + 1, options_.self);
  timer_.Restart(now_);
  RequestVotes(false, transfer);
  // Persisted() counts this member's own vote once it is synced.
}

void raft_core::RequestVotes(bool pre, bool transfer) {
  for (const inner::member_record& member : Membership().Members()) {
    if (member.id() == options_.self || member.role() != inner::VOTER) {
      continue;
    }
    inner::raft_message message = MakeMessage(member.id());
    inner::raft_vote_request* request =
        pre ? message.mutable_pre_vote() : message.mutable_vote();
    message.set_term(pre ? Term() + 1 : Term());
    request->set_last_index(log_.LastIndex());
    request->set_last_term(log_.LastTerm());
    request->set_transfer(transfer);
    SendAfterSync(std::move(message));
  }
}

void raft_core::CountVote(member_id voter, bool unverified) {
  votes_.insert(voter);
  if (unverified) {
    unverified_votes_.insert(voter);
  }
  if (!IsElectionQuorum(votes_)) {
    return;
  }
  if (role_ == raft_role::kPreCandidate) {
    BeginElection(false);
  } else {
    BecomeLeader();
  }
}

void raft_core::CountRejection(member_id voter) {
  rejections_.insert(voter);
  if (Membership().IsQuorum(rejections_)) {
    BecomeFollower(Term(), 0);
  }
}

void raft_core::BecomeLeader() {
  BecomeFollower(Term(), options_.self);
  role_ = raft_role::kLeader;
  // This member's log is at least as up to date as a quorum's logs.
  verified_ = true;
  uncommitted_bytes_ = 0;
  for (uint64_t index = commit_index_ + 1; index <= LastIndex(); ++index) {
    uncommitted_bytes_ += log_.At(index).ByteSizeLong();
  }
  leadership_.emplace(options_.self, LastIndex() + 1, now_);
  leadership_->SetMembership(Membership(), ExcludedUnverifiedVoters(),
                             LastIndex(), now_);
  // The former leader has been silent since before the election.
  if (raft_progress* former = leadership_->FindPeer(heard_leader_)) {
    former->SetHeardBefore(leader_heard_at_);
  }
  inner::raft_entry no_op;
  no_op.set_index(LastIndex() + 1);
  no_op.set_term(Term());
  AppendToLog(std::move(no_op));
  SendHeartbeats();
}

bool raft_core::IsUpToDate(const inner::raft_vote_request& request) const {
  if (request.last_term() != log_.LastTerm()) {
    return request.last_term() > log_.LastTerm();
  }
  return request.last_index() >= log_.LastIndex();
}

void raft_core::OnPreVote(const inner::raft_message& message) {
  if (role_ == raft_role::kLeader || timer_.MustWithholdVote(now_)) {
    return;
  }
  const bool granted =
      message.term() > Term() && IsUpToDate(message.pre_vote());
  inner::raft_message answer = MakeMessage(message.from());
  answer.set_term(granted ? message.term() : Term());
  answer.mutable_pre_vote_answer()->set_granted(granted);
  SendAfterSync(std::move(answer));
}

void raft_core::OnPreVoteAnswer(const inner::raft_message& message) {
  if (role_ != raft_role::kPreCandidate) {
    return;
  }
  if (!message.pre_vote_answer().granted()) {
    CountRejection(message.from());
  } else if (message.term() == Term() + 1) {
    CountVote(message.from(), message.unverified());
  }
}

void raft_core::OnVote(const inner::raft_message& message) {
  if (!message.vote().transfer() && timer_.MustWithholdVote(now_)) {
    return;
  }
  const bool may_vote = hard_state_.voted_for() == 0 && leader_ == 0;
  const bool granted =
      (may_vote || hard_state_.voted_for() == message.from()) &&
      IsUpToDate(message.vote());
  if (granted) {
    SetHardState(Term(), message.from());
    timer_.Restart(now_);
  }
  inner::raft_message answer = MakeMessage(message.from());
  answer.mutable_vote_answer()->set_granted(granted);
  SendAfterSync(std::move(answer));
}

void raft_core::OnVoteAnswer(const inner::raft_message& message) {
  if (role_ != raft_role::kCandidate) {
    return;
  }
  if (message.vote_answer().granted()) {
    CountVote(message.from(), message.unverified());
  } else {
    CountRejection(message.from());
  }
}

void raft_core::OnTimeoutNow(const inner::raft_message& message) {
  if (role_ == raft_role::kFollower && leader_ == message.from() &&
      Membership().IsVoter(options_.self)) {
    BeginElection(true);
  }
}

}  // namespace cardamomroute::control
