#include <algorithm>

#include "control/raft_core.h"

namespace cardamomroute::control {
namespace {

bool ShareVm(const inner::member_record& a, const inner::member_record& b) {
  const bool same_name = !a.name().empty() && a.name() == b.name();
  const bool same_address = !a.address().empty() && a.address() == b.address();
  return a.id() != b.id() && (same_name || same_address);
}

/// Pre-votes and the votes for them carry a term that nobody has stored.
bool HasStoredTerm(const inner::raft_message& message) {
  return !message.has_pre_vote() && !message.has_pre_vote_answer();
}

}  // namespace

/// What a member sends about itself was synced before.
void raft_core::NotePosition(const inner::raft_message& message) {
  if (!HasStoredTerm(message) || Membership().Find(message.from()) == nullptr) {
    return;
  }
  inner::raft_position position;
  position.set_member(message.from());
  position.set_run(message.run());
  position.set_term(message.term());
  if (message.has_append_answer() && message.append_answer().accepted()) {
    position.set_index(message.append_answer().match_index());
  }
  positions_.Note(position);
}

/// False for an answer of a run that has ended, or of one on an old copy.
bool raft_core::IsPresentRun(const inner::raft_message& message,
                             const raft_progress& progress) const {
  const std::optional<uint64_t> known = progress.Run();
  if (known && known != message.run() &&
      StartsOf(message.run()) <= StartsOf(*known)) {
    return false;
  }
  return !message.unverified() ||
         !positions_.HasRival(message.from(), message.run());
}

/// What a leader has synced counts like an acknowledgement.
void raft_core::NoteOwnPosition() {
  inner::raft_position position;
  position.set_member(options_.self);
  position.set_run(options_.run);
  position.set_term(Term());
  position.set_index(synced_index_);
  positions_.Note(position);
}

void raft_core::HearOfDisks(const inner::raft_message& message) {
  NotePosition(message);
  for (const inner::raft_position& position : message.append().seen()) {
    if (position.member() == options_.self ||
        Membership().Find(position.member()) != nullptr) {
      positions_.Note(position);
    }
  }
  for (const member_id lost : message.lost_voters()) {
    if (Membership().IsVoter(lost)) {
      lost_voters_.insert(lost);
    }
  }
  lost_voters_.erase(message.from());
  lost_voters_.erase(options_.self);
  // Once it is verified, its disk is as good as if it had never gone back.
  if (!verified_ && positions_.Contradict(start_position_)) {
    BecomeFollower(Term(), 0);
    old_copy_ = true;
  }
}

/// Of the receiver, and of one other member in turn, so that whoever leads
/// next can tell them too.
void raft_core::TellPositions(member_id to, inner::raft_append& append) {
  const auto& members = Membership().Members();
  const member_id other = members[told_of_++ % members.size()].id();
  for (const member_id member : {to, other}) {
    for (const inner::raft_position& position : positions_.Of(member)) {
      *append.add_seen() = position;
    }
    if (other == to) {
      return;
    }
  }
}

void raft_core::TakeVerdict(const inner::raft_append& append) {
  verified_ = verified_ || append.verified_run() == options_.run;
}

void raft_core::RecordLostVoters(const inner::member_record& newcomer) {
  for (const inner::member_record& member : Membership().Members()) {
    if (member.role() == inner::VOTER && ShareVm(member, newcomer)) {
      lost_voters_.insert(member.id());
    }
  }
}

/// True if a voter's VM is known to have another disk by now: it was heard of
/// without a group, or belongs to the group twice.
bool raft_core::HasLostVoter() const {
  const auto& members = Membership().Members();
  return std::any_of(members.begin(), members.end(), [&](const auto& member) {
    if (member.role() != inner::VOTER) {
      return false;
    }
    return lost_voters_.contains(member.id()) ||
           std::any_of(members.begin(), members.end(), [&](const auto& other) {
             return ShareVm(member, other);
           });
  });
}

/// How many unverified voters a quorum does not count. Two voters stand no
/// loss at all, so there is nothing that they could be guarded against.
size_t raft_core::Doubted() const {
  return !options_.guards_old_copies || Membership().VoterCount() <= 2 ||
                 HasLostVoter()
             ? 0
             : 1;
}

bool raft_core::IsElectedBy(
    const absl::flat_hash_set<member_id>& voters) const {
  size_t verified = 0;
  size_t unverified = 0;
  for (const member_id voter : voters) {
    if (Membership().IsVoter(voter)) {
      ++(unverified_votes_.contains(voter) ? unverified : verified);
    }
  }
  return verified + unverified - std::min(unverified, Doubted()) >=
         Membership().Quorum();
}

/// A leader verifies a member's run once the member has all that is
/// committed, and a quorum of the others follows the leader since that run
/// was heard of: nothing that an earlier run acknowledged or voted for can
/// still come into force without them.
void raft_core::VerifyIfDue(member_id id, raft_progress& progress) {
  if (progress.IsVerified() || commit_index_ < leadership_->FirstIndex() ||
      progress.MatchIndex() < commit_index_ ||
      !leadership_->HasQuorumWithout(id, Membership(), progress.RunHeardAt())) {
    return;
  }
  progress.SetVerified();
  leadership_->UpdateContact(Membership(), Doubted());
  SendHeartbeat(id, progress);
}

}  // namespace cardamomroute::control
