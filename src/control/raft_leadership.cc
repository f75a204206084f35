#include "control/raft_leadership.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "control/raft_options.h"

namespace cardamomroute::control {
namespace {

/// One value for each voter, such as its match index.
template <class T>
struct quorum_values {
  std::vector<T> verified;
  std::vector<T> unverified;

  void Add(const raft_progress& progress, T value) {
    (progress.IsVerified() ? verified : unverified).push_back(value);
  }

  /// Returns the highest value that at least `quorum` voters have reached, not
  /// counting the `excluded` most advanced unverified voters. Returns `none` if
  /// too few voters remain.
  T ReachedBy(size_t quorum, size_t excluded, T none) {
    std::sort(unverified.begin(), unverified.end(), std::greater<T>());
    const size_t skipped = std::min(excluded, unverified.size());
    std::vector<T> values = verified;
    values.insert(values.end(),
                  unverified.begin() + static_cast<ptrdiff_t>(skipped),
                  unverified.end());
    if (values.size() < quorum) {
      return none;
    }
    std::sort(values.begin(), values.end(), std::greater<T>());
    return values.at(quorum - 1);
  }
};

}  // namespace

raft_leadership::raft_leadership(member_id self, uint64_t first_index,
                                 absl::Time now)
    : self_(self),
      first_index_(first_index),
      elected_at_(now),
      step_down_at_(now + kElectionTimeout),
      heartbeat_at_(now) {}

raft_progress* raft_leadership::FindPeer(member_id id) {
  const auto found = peers_.find(id);
  return found == peers_.end() ? nullptr : &found->second;
}

void raft_leadership::SetMembership(const raft_membership& membership,
                                    size_t excluded, uint64_t last_index,
                                    absl::Time now) {
  for (const inner::member_record& member : membership.Members()) {
    if (member.id() != self_) {
      peers_.try_emplace(member.id(), last_index, now);
    }
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    const bool known = membership.Find(peer->first) != nullptr;
    peer = known ? std::next(peer) : peers_.erase(peer);
  }
  UpdateLease(membership, excluded);
}

void raft_leadership::UpdateLease(const raft_membership& membership,
                                  size_t excluded) {
  quorum_values<absl::Time> sent_at;
  if (membership.IsVoter(self_)) {
    sent_at.verified.push_back(absl::InfiniteFuture());
  }
  for (const auto& [id, progress] : peers_) {
    if (membership.IsVoter(id)) {
      sent_at.Add(progress, progress.LastAnsweredSendTime());
    }
  }
  const absl::Time contact =
      sent_at.ReachedBy(membership.Quorum(), excluded, absl::InfinitePast());
  step_down_at_ = std::max(elected_at_, contact) + kElectionTimeout;
  lease_end_ = transfer_sent_ ? absl::InfinitePast() : contact + kLeaderLease;
}

uint64_t raft_leadership::QuorumIndex(const raft_membership& membership,
                                      size_t excluded,
                                      uint64_t own_index) const {
  quorum_values<uint64_t> indexes;
  if (membership.IsVoter(self_)) {
    indexes.verified.push_back(own_index);
  }
  for (const auto& [id, progress] : peers_) {
    if (membership.IsVoter(id)) {
      indexes.Add(progress, progress.MatchIndex());
    }
  }
  return indexes.ReachedBy(membership.Quorum(), excluded, 0);
}

bool raft_leadership::HasQuorumWithout(member_id id,
                                       const raft_membership& membership,
                                       absl::Time since) const {
  absl::flat_hash_set<member_id> followers = {self_};
  for (const auto& [other, progress] : peers_) {
    if (other != id && progress.LastAnsweredSendTime() > since) {
      followers.insert(other);
    }
  }
  return membership.IsQuorum(followers);
}

void raft_leadership::BeginTransfer(member_id target, absl::Time deadline) {
  transfer_target_ = target;
  transfer_deadline_ = deadline;
}

void raft_leadership::MarkTransferSent() {
  transfer_sent_ = true;
  lease_end_ = absl::InfinitePast();
}

absl::Time raft_leadership::TransferDeadline() const {
  return transfer_target_ == 0 ? absl::InfiniteFuture() : transfer_deadline_;
}

}  // namespace cardamomroute::control
