#ifndef CARDAMOMROUTE_CONTROL_RAFT_LEADERSHIP_H_
#define CARDAMOMROUTE_CONTROL_RAFT_LEADERSHIP_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "control/raft_membership.h"
#include "control/raft_progress.h"

namespace cardamomroute::control {

/// State of a leader, valid for one term: replication progress of the other
/// members, the leader lease and a leadership transfer under way.
class raft_leadership {
 public:
  /// `first_index` is the index of the no-op that opens the term.
  raft_leadership(member_id self, uint64_t first_index, absl::Time now);

  uint64_t FirstIndex() const { return first_index_; }

  /// Every other member, by id.
  absl::btree_map<member_id, raft_progress>& Peers() { return peers_; }
  const absl::btree_map<member_id, raft_progress>& Peers() const {
    return peers_;
  }
  /// Progress of member `id`; null if it is unknown or this leader itself.
  raft_progress* FindPeer(member_id id);

  /// Adds and removes peers to match `membership`, then calls UpdateLease().
  /// `excluded` is the number of unverified voters that do not count toward a
  /// quorum, here and below; the most advanced ones are excluded.
  void SetMembership(const raft_membership& membership, size_t excluded,
                     uint64_t last_index, absl::Time now);
  /// Recomputes the lease and the step-down deadline. Call after an answer from
  /// a member. Always uses the current membership: a lease obtained under an
  /// earlier one is not safe after two membership changes.
  void UpdateLease(const raft_membership& membership, size_t excluded);
  /// Highest index that a quorum has stored; 0 if there is no quorum.
  /// `own_index` is the last index that the leader itself has synced.
  uint64_t QuorumIndex(const raft_membership& membership, size_t excluded,
                       uint64_t own_index) const;
  /// True if a quorum that excludes `id` has answered messages that this leader
  /// sent after `since`.
  bool HasQuorumWithout(member_id id, const raft_membership& membership,
                        absl::Time since) const;

  /// End of the lease: until then no other member can become leader.
  absl::Time LeaseEnd() const { return lease_end_; }
  /// When the leader must step down unless a quorum answers before.
  absl::Time StepDownAt() const { return step_down_at_; }

  absl::Time HeartbeatAt() const { return heartbeat_at_; }
  void SetHeartbeatAt(absl::Time at) { heartbeat_at_ = at; }

  void BeginTransfer(member_id target, absl::Time deadline);
  /// Call when TimeoutNow was sent to the target. The target may win an
  /// election at any time, so this leader has no lease for the rest of its
  /// term.
  void MarkTransferSent();
  void CancelTransfer() { transfer_target_ = 0; }
  /// 0 if no transfer is under way.
  member_id TransferTarget() const { return transfer_target_; }
  /// InfiniteFuture if no transfer is under way.
  absl::Time TransferDeadline() const;
  bool IsTransferSent() const { return transfer_sent_; }

 private:
  member_id self_;
  uint64_t first_index_;
  absl::Time elected_at_;
  absl::btree_map<member_id, raft_progress> peers_;
  absl::Time lease_end_ = absl::InfinitePast();
  absl::Time step_down_at_;
  absl::Time heartbeat_at_;
  member_id transfer_target_ = 0;
  absl::Time transfer_deadline_ = absl::InfiniteFuture();
  bool transfer_sent_ = false;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_LEADERSHIP_H_
