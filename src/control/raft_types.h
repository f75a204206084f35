#ifndef CARDAMOMROUTE_CONTROL_RAFT_TYPES_H_
#define CARDAMOMROUTE_CONTROL_RAFT_TYPES_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "absl/time/time.h"
#include "inner/raft.pb.h"
#include "view/view.h"

namespace cardamomroute::control {

/// What a member does in its term.
enum class raft_role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// "follower", "pre-candidate", "candidate" or "leader".
std::string_view NameOf(raft_role role);

/// Snapshots are shared between the core and transfers under way.
using shared_snapshot = std::shared_ptr<const inner::raft_snapshot_record>;

/// What a data folder held at start. All empty for a new disk that waits to
/// be added by a leader.
struct recovered_state {
  inner::raft_hard_state hard_state;
  /// Null where there is none.
  shared_snapshot snapshot;
  /// Consecutive; those that the snapshot covers are passed over.
  std::vector<inner::raft_entry> entries;
  /// Entries up to here are known to be committed; 0 where nothing is known.
  uint64_t committed = 0;
};

/// The state of each founding member of a new control group: a snapshot of
/// the empty state machine at index 1, with this membership. To be stored
/// before a core starts from it. Exactly one group may ever be founded by a
/// set of disks; all other members start with an empty recovered_state.
recovered_state FoundingState(const inner::membership_record& membership);

/// What the shell has to do, in this order: store and sync `hard_state`,
/// `snapshot` and `entries`; report Persisted(sequence); send
/// `messages_after_sync`; restore `snapshot`; apply `committed`.
/// `messages_now` may be sent at any moment, also while the disk is at work.
struct raft_ready {
  /// Rises with each value handed out.
  uint64_t sequence = 0;
  std::optional<inner::raft_hard_state> hard_state;
  /// Replaces the state machine, and the stored log up to its index. The
  /// stored log after its index is replaced too, by `entries`.
  shared_snapshot snapshot;
  /// The first one replaces whatever is stored at its index and after it.
  std::vector<inner::raft_entry> entries;
  std::vector<inner::raft_message> messages_now;
  std::vector<inner::raft_message> messages_after_sync;
  /// In order of index, without gaps. Includes no-ops and memberships, which
  /// only move the applied index.
  std::vector<inner::raft_entry> committed;

  /// True where the disk has to be synced before anything else.
  bool MustSync() const {
    return hard_state.has_value() || snapshot != nullptr || !entries.empty();
  }
};

/// The kinds of single-server membership change.
enum class membership_change_kind : uint8_t {
  /// A new member, as standby.
  kAddStandby,
  /// A standby becomes a voter.
  kPromote,
  /// A voter becomes a standby.
  kDemote,
  /// A standby is forgotten.
  kRemove,
};

/// "add-standby", "promote", "demote" or "remove".
std::string_view NameOf(membership_change_kind kind);

/// One change of the membership.
struct membership_change {
  membership_change_kind kind = membership_change_kind::kAddStandby;
  /// Only its id is read, but for kAddStandby.
  inner::member_record member;
};

/// What a leader knows of one member.
struct raft_member_status {
  inner::member_record member;
  /// Last answer in this term; the start of the term where there was none.
  absl::Time last_contact;
  /// The log is known to be equal up to here.
  uint64_t match_index = 0;
  /// Lacks at most kCaughtUpEntries.
  bool caught_up = false;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_TYPES_H_
