#ifndef CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_
#define CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/result.h"
#include "control/quorum_watch.h"
#include "control/raft_types.h"

namespace cardamomroute::control {

/// A member that has not answered the leader for this long is silent, that is
/// unavailable. A lost leader is replaced within 4 s also where an election has
/// to be repeated.
inline constexpr absl::Duration kMemberContactTimeout = absl::Seconds(2);

/// The same for a member whose VM has asked to join with an empty disk. Longer
/// than a living member is ever silent for, so that a VM that was given the
/// name of another one by mistake does not displace it.
inline constexpr absl::Duration kLostMemberContactTimeout =
    absl::Milliseconds(500);

/// A standby is promoted only if its last answer is younger than this. If the
/// standby is lost for good at the moment of its promotion, together with the
/// voter that it replaces, the larger quorum becomes unreachable.
inline constexpr absl::Duration kMaxPromotionContactAge =
    absl::Milliseconds(200);

/// An announcement of a stop that is not repeated expires after this time.
inline constexpr absl::Duration kLeaveRequestLifetime = absl::Seconds(1);

/// A join request that is not repeated expires after this time.
inline constexpr absl::Duration kJoinRequestLifetime = absl::Seconds(10);

/// Decides on the leader which single membership change is due next. It keeps
/// the wanted number of voters available: a silent voter is replaced by an
/// available standby that has caught up, and becomes a standby itself. A voter
/// whose disk is lost is demoted first: it cannot come back, and without it
/// the quorum is no larger than what is left needs.
///
/// Follows "Cluster Membership" of the Copycat paper. Standbys are the paper's
/// passive members (6.2), promoted by a single-server change (6.5). The silent
/// voter is demoted only after the promotion is committed, so that a failed
/// promotion never leaves a smaller quorum (6.6). An unavailable standby is
/// never promoted, so that two unavailable members cannot replace each other
/// forever (6.7). Where the paper commits availability to the log, this class
/// derives it from the leader's own contacts; a new leader starts with all
/// members available but for the leader before it, which corresponds to the
/// paper's reset by the first entry of a term.
///
/// Reserve members (6.3) are not needed with at most kMaxMembers members. The
/// leader, not the followers (6.4), replicates to the standbys: with at most
/// four of them its own uplink suffices, it always knows which standby has
/// caught up, and the loss of a follower interrupts no standby. As in the
/// paper, standbys receive committed entries only.
class repair_core {
 public:
  /// `wanted_voters` must be odd and in the range 1 to kMaxMembers.
  explicit repair_core(size_t wanted_voters);

  /// Records that a VM asks to become a standby. The VM repeats the request
  /// until a leader contacts it; a repeated request or one of a member
  /// succeeds. Fails with kDuplicateName if another available member has the
  /// same name or address, and with kValueOutOfRange if the group is full and
  /// has no silent standby to remove.
  result<void> RequestJoin(const inner::member_record& joiner,
                           const std::vector<raft_member_status>& members,
                           absl::Time now);

  /// How many voters the group can lose, as the leader `self` knows it.
  quorum_margin Margin(member_id self,
                       const std::vector<raft_member_status>& members,
                       absl::Time now) const;

  /// Records that a voter is about to stop. Until then it counts as
  /// unavailable, so that a standby takes its place before it is gone. The
  /// voter repeats the request until it is demoted.
  void RequestLeave(member_id voter, absl::Time now);

  /// Returns the membership change that is due, if any. `members` is the status
  /// of the members as the leader `self` knows it. Must not be called while a
  /// change is uncommitted.
  std::optional<membership_change> NextChange(
      member_id self, const std::vector<raft_member_status>& members,
      absl::Time now);

 private:
  struct join_request {
    inner::member_record joiner;
    absl::Time expires_at;
  };

  size_t wanted_voters_;
  /// In order of arrival; at most kMaxMembers.
  std::vector<join_request> requests_;
  /// Voters that are about to stop, and until when that holds.
  absl::flat_hash_map<member_id, absl::Time> leaving_until_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_
