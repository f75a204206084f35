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

/// Raft role of a member in its current term.
enum class raft_role : uint8_t {
  kFollower,
  kPreCandidate,
  kCandidate,
  kLeader
};

/// "follower", "pre-candidate", "candidate" or "leader".
std::string_view NameOf(raft_role role);

/// A snapshot, shared by the core and any transfers under way.
using shared_snapshot = std::shared_ptr<const inner::raft_snapshot_record>;

/// State read from the data folder at start. Empty for a new disk, which waits
/// for a leader to add it.
struct recovered_state {
  inner::raft_hard_state hard_state;
  /// Null if there is none.
  shared_snapshot snapshot;
  /// Consecutive; entries that the snapshot covers are ignored.
  std::vector<inner::raft_entry> entries;
  /// Highest index known to be committed; 0 if unknown.
  uint64_t committed = 0;
};

/// Initial state of each founding member of a new control group: a snapshot of
/// the empty state machine at index 1, with this membership. Store it before
/// starting a core from it. A set of disks must found exactly one group, ever;
/// all other members start with an empty recovered_state.
recovered_state FoundingState(const inner::membership_record& membership);

/// Work for the owner of the core, in this order: store and sync `hard_state`,
/// `snapshot` and `entries`; call Persisted(sequence); send
/// `messages_after_sync`; restore `snapshot`; apply `committed`.
/// `messages_now` may be sent at any time, even while the disk write runs.
struct raft_ready {
  /// Increases with each raft_ready.
  uint64_t sequence = 0;
  std::optional<inner::raft_hard_state> hard_state;
  /// Null if there is none. Replaces the state machine and the whole stored
  /// log; `entries` holds the log after the snapshot's index.
  shared_snapshot snapshot;
  /// Stored entries at or after the first one's index are replaced.
  std::vector<inner::raft_entry> entries;
  std::vector<inner::raft_message> messages_now;
  std::vector<inner::raft_message> messages_after_sync;
  /// In index order, without gaps. Includes no-ops and memberships, which only
  /// advance the applied index.
  std::vector<inner::raft_entry> committed;

  /// True if there is anything to store and sync.
  bool MustSync() const {
    return hard_state.has_value() || snapshot != nullptr || !entries.empty();
  }
};

/// The kinds of single-server membership change.
enum class membership_change_kind : uint8_t {
  /// Adds a new member as a standby.
  kAddStandby,
  /// Turns a standby into a voter.
  kPromote,
  /// Turns a voter into a standby.
  kDemote,
  /// Removes a standby.
  kRemove,
};

/// "add-standby", "promote", "demote" or "remove".
std::string_view NameOf(membership_change_kind kind);

/// A change of one member's role or presence.
struct membership_change {
  membership_change_kind kind = membership_change_kind::kAddStandby;
  /// Only the id is used, except for kAddStandby.
  inner::member_record member;
};

/// Status of one member as seen by the leader.
struct raft_member_status {
  inner::member_record member;
  /// Time of the last answer in this term. If there was none, start of the
  /// term, or for the former leader its last message.
  absl::Time last_contact;
  /// Highest index up to which the member's log is known to match.
  uint64_t match_index = 0;
  /// True if the member lags by at most kCaughtUpEntries.
  bool caught_up = false;
  /// True if the member's VM has asked to join with an empty disk since the
  /// member's last message: the member will not come back.
  bool disk_lost = false;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_TYPES_H_
