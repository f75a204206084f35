#ifndef CARDAMOMROUTE_CONTROL_RAFT_LEADERSHIP_H_
#define CARDAMOMROUTE_CONTROL_RAFT_LEADERSHIP_H_

#include <cstddef>
#include <cstdint>

#include "absl/container/btree_map.h"
#include "absl/time/time.h"
#include "control/raft_membership.h"
#include "control/raft_progress.h"

namespace cardamomroute::control {

/// What a leader keeps for the length of its term.
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
  /// The member's progress, or null.
  raft_progress* FindPeer(member_id id);

  /// Follows a new membership; recomputes what depends on the quorum.
  /// `doubted`: how many unverified voters a quorum does not count.
  void SetMembership(const raft_membership& membership, size_t doubted,
                     uint64_t last_index, absl::Time now);
  /// Recomputes lease and step-down deadline after a member was heard from.
  /// Always over the membership in force: a lease that was won under an
  /// earlier one does not outlive two changes.
  void UpdateLease(const raft_membership& membership, size_t doubted);
  /// The highest index that a quorum has, of which the leader itself has
  /// synced up to `own_index`.
  uint64_t QuorumIndex(const raft_membership& membership, size_t doubted,
                       uint64_t own_index) const;
  /// True if a quorum without `id` still followed this leader after `since`.
  bool HasQuorumWithout(member_id id, const raft_membership& membership,
                        absl::Time since) const;

  /// No other member leads before this.
  absl::Time LeaseEnd() const { return lease_end_; }
  /// The leader has lost its quorum if this passes.
  absl::Time StepDownAt() const { return step_down_at_; }

  absl::Time HeartbeatAt() const { return heartbeat_at_; }
  void SetHeartbeatAt(absl::Time at) { heartbeat_at_ = at; }

  void BeginTransfer(member_id target, absl::Time deadline);
  /// The target was told to stand for election: the leader may lose its place
  /// at any moment, so it has no lease for the rest of its term.
  void MarkTransferSent();
  void CancelTransfer() { transfer_target_ = 0; }
  /// 0 where no transfer is under way.
  member_id TransferTarget() const { return transfer_target_; }
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
