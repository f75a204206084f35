#include <algorithm>

#include "control/raft_core.h"

namespace cardamomroute::control {
namespace {

bool IsSameVm(const inner::member_record& a, const inner::member_record& b) {
  const bool same_name = !a.name().empty() && a.name() == b.name();
  const bool same_address = !a.address().empty() && a.address() == b.address();
  return a.id() != b.id() && (same_name || same_address);
}

/// True if the sender has stored the message's term. Pre-vote requests and
/// answers may carry a term that no member has stored.
bool HasStoredTerm(const inner::raft_message& message) {
  return !message.has_pre_vote() && !message.has_pre_vote_answer();
}

}  // namespace

/// Records how far the sender's disk is. A member syncs its state before it
/// sends the messages that report it.
void raft_core::RecordPosition(const inner::raft_message& message) {
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
  positions_.Record(position);
}

/// False if the answer comes from an earlier run of the sender's process, or
/// from an unverified run that may use an old copy of its disk.
bool raft_core::IsCurrentRun(const inner::raft_message& message,
                             const raft_progress& progress) const {
  const std::optional<uint64_t> known = progress.Run();
  if (known && known != message.run() &&
      StartsOf(message.run()) <= StartsOf(*known)) {
    return false;
  }
  return !message.unverified() ||
         !positions_.HasConflictingRun(message.from(), message.run());
}

/// Records what this leader has synced, as for a follower's acknowledgement.
void raft_core::RecordOwnPosition() {
  inner::raft_position position;
  position.set_member(options_.self);
  position.set_run(options_.run);
  position.set_term(Term());
  position.set_index(synced_index_);
  positions_.Record(position);
}

/// Merges what the message reports about members' disks. Stops this member if
/// the reports show that it runs on an old copy of its disk.
void raft_core::ProcessDiskReports(const inner::raft_message& message) {
  RecordPosition(message);
  for (const inner::raft_position& position : message.append().seen()) {
    if (position.member() == options_.self ||
        Membership().Find(position.member()) != nullptr) {
      positions_.Record(position);
    }
  }
  for (const member_id lost : message.lost_voters()) {
    if (Membership().IsVoter(lost)) {
      lost_disks_.insert(lost);
    }
  }
  lost_disks_.erase(message.from());
  lost_disks_.erase(options_.self);
  // A verified member has regained everything that an old copy could lack.
  if (!verified_ && positions_.Contradicts(start_position_)) {
    BecomeFollower(Term(), 0);
    runs_on_old_copy_ = true;
  }
}

/// Adds the known positions of the receiver and of one member in rotation.
/// The rotation spreads all positions over the group, so that the next leader
/// can report them as well.
void raft_core::AddPositions(member_id to, inner::raft_append& append) {
  const auto& members = Membership().Members();
  const member_id other =
      members[next_position_member_++ % members.size()].id();
  for (const member_id member : {to, other}) {
    for (const inner::raft_position& position : positions_.Of(member)) {
      *append.add_seen() = position;
    }
    if (other == to) {
      return;
    }
  }
}

void raft_core::UpdateVerified(const inner::raft_append& append) {
  verified_ = verified_ || append.verified_run() == options_.run;
}

void raft_core::RecordLostDisks(const inner::member_record& newcomer) {
  for (const inner::member_record& member : Membership().Members()) {
    if (IsSameVm(member, newcomer)) {
      lost_disks_.insert(member.id());
    }
  }
}

/// True if a voter's VM is known to have a new disk: the VM asked to join
/// without a group, or is a member of the group twice.
bool raft_core::HasLostVoter() const {
  const auto& members = Membership().Members();
  return std::any_of(members.begin(), members.end(), [&](const auto& member) {
    if (member.role() != inner::VOTER) {
      return false;
    }
    return lost_disks_.contains(member.id()) ||
           std::any_of(members.begin(), members.end(), [&](const auto& other) {
             return IsSameVm(member, other);
           });
  });
}

/// Number of unverified voters that do not count towards a quorum. Zero for
/// groups of at most two voters: they tolerate no loss, so excluding a voter
/// cannot protect them.
size_t raft_core::ExcludedUnverifiedVoters() const {
  return !options_.guards_old_copies || Membership().VoterCount() <= 2 ||
                 HasLostVoter()
             ? 0
             : 1;
}

bool raft_core::IsElectionQuorum(
    const absl::flat_hash_set<member_id>& voters) const {
  size_t verified = 0;
  size_t unverified = 0;
  for (const member_id voter : voters) {
    if (Membership().IsVoter(voter)) {
      ++(unverified_votes_.contains(voter) ? unverified : verified);
    }
  }
  return verified + unverified -
             std::min(unverified, ExcludedUnverifiedVoters()) >=
         Membership().Quorum();
}

/// Verifies a member's run once the member has all committed entries and a
/// quorum of the other voters has followed this leader since the run became
/// known. From then on, no entry that an earlier run acknowledged and no vote
/// that it granted can take effect without those voters.
void raft_core::MaybeVerify(member_id id, raft_progress& progress) {
  if (progress.IsVerified() || commit_index_ < leadership_->FirstIndex() ||
      progress.MatchIndex() < commit_index_ ||
      !leadership_->HasQuorumWithout(id, Membership(),
                                     progress.RunFirstSeenAt())) {
    return;
  }
  progress.SetVerified();
  leadership_->UpdateLease(Membership(), ExcludedUnverifiedVoters());
  SendHeartbeat(id, progress);
}

}  // namespace cardamomroute::control
