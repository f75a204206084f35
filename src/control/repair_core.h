#ifndef CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_
#define CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/result.h"
#include "control/raft_types.h"

namespace cardamomroute::control {

/// A member that has not answered the leader for this long is silent.
inline constexpr absl::Duration kMemberLease = absl::Seconds(3);

/// A standby is promoted only within this time after its last answer: where
/// it is lost for good at that very moment, together with the voter that it
/// is to replace, the larger quorum cannot be reached any more.
inline constexpr absl::Duration kPromotionContact = absl::Milliseconds(200);

/// A request to join that is not repeated is forgotten after this time.
inline constexpr absl::Duration kJoinRequestLife = absl::Seconds(10);

/// Decides on the leader which single change of membership is due next. It
/// keeps the wanted number of voters available: a silent voter is replaced by
/// an available standby that is caught up, and comes back as a standby.
///
/// After the Copycat paper ("Cluster Membership"): standbys are its passive
/// members (6.2), promoted by a single-server change (6.5); the lost voter is
/// demoted only once the promotion is committed, so that a promotion that
/// fails never leaves a smaller quorum (6.6); an unavailable standby is never
/// promoted, so two unavailable members cannot replace each other for ever
/// (6.7). Where the paper commits availability to the log, this core reads it
/// off the leader's own contacts: a new leader starts with all members
/// available, which is the paper's reset by the first entry of a term.
///
/// Reserve members (6.3) are not needed with at most kMaxMembers. Standbys are
/// fed by the leader, not by followers (6.4): with at most four of them the
/// leader's own uplink carries them, it knows at any moment which one is
/// caught up, and the loss of a follower interrupts no standby. As in the
/// paper they are sent committed entries only.
class repair_core {
 public:
  /// `wanted_voters` is odd, 1 to kMaxMembers.
  explicit repair_core(size_t wanted_voters);

  /// Notes that a VM asks to become a standby; to be repeated by the VM until
  /// a leader contacts it. Asking again or asking as a member succeeds. Fails
  /// with kDuplicateName while another available member has its name or
  /// address, and with kValueOutOfRange where all places are taken by
  /// available members or voters.
  result<void> RequestJoin(const inner::member_record& joiner,
                           const std::vector<raft_member_status>& members,
                           absl::Time now);

  /// The change that is due, if any. `members` is what the leader `self`
  /// knows; not to be called while a change is uncommitted.
  std::optional<membership_change> NextChange(
      member_id self, const std::vector<raft_member_status>& members,
      absl::Time now);

 private:
  struct join_request {
    inner::member_record joiner;
    absl::Time expires_at;
  };

  size_t wanted_voters_;
  /// At most kMaxMembers, in order of arrival.
  std::vector<join_request> requests_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_REPAIR_CORE_H_
