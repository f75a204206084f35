#ifndef CARDAMOMROUTE_CONTROL_REGISTRY_CORE_H_
#define CARDAMOMROUTE_CONTROL_REGISTRY_CORE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "control/control_state.h"
#include "inner/command.pb.h"
#include "inner/node.pb.h"
#include "view/member_book.h"

namespace cardamomroute::control {

/// A node that the leader has not heard of for this long is lost. Longer than
/// kNodeLease: a node that is cut off stops taking flows before it leaves the
/// view.
inline constexpr absl::Duration kRegistryLease = absl::Seconds(4);

/// The same for a node that pulls through relays. It may take that long until
/// its pulls reach control by another way when a relay is lost.
inline constexpr absl::Duration kRelayedLease = absl::Seconds(6);

/// How long a node stays in the view after the relay above it, which goes on,
/// has reported it silent: together with kMemberSilence a kRegistryLease.
inline constexpr absl::Duration kDoubtLease = absl::Milliseconds(2800);

/// Where every node of an availability zone has been silent for this long,
/// none of them is declared lost before all are, so that the zone's loss is
/// one entry of the log.
inline constexpr absl::Duration kZoneSuspicion = absl::Seconds(2);

/// Availability zones with fewer nodes are not declared lost as a whole.
inline constexpr size_t kZoneNodes = 3;

/// When more than half of all nodes fall silent, the fault may lie with the
/// leader: none of them is declared lost for so long.
inline constexpr absl::Duration kMassLossHold = absl::Seconds(10);

/// Shortest time between two batches.
inline constexpr absl::Duration kBatchInterval = absl::Milliseconds(50);

/// Shortest time between two searches for lost nodes.
inline constexpr absl::Duration kLossInterval = absl::Milliseconds(250);

/// Nodes of one batch.
inline constexpr size_t kBatchNodes = 2048;

/// How many nodes have a version of the view.
struct in_force_count {
  uint32_t nodes = 0;
  uint32_t in_force = 0;
};

/// What is known of one node.
struct node_report {
  std::string name;
  /// Of the view that it had when it was last heard.
  uint64_t version = 0;
  absl::Time last_seen;
};

/// What the leader knows of the nodes beyond the replicated state: who was
/// heard when, and which version each has. It turns changes into batches for
/// the log, one at a time. A node leaves the view only when it says so, or
/// when neither it nor a relay on its behalf was heard for kRegistryLease;
/// what health checks report plays no part.
class registry_core {
 public:
  /// Forgets all; every node in `state` has a whole lease from `now` on.
  void StartLeading(const control_state& state, absl::Time now);
  /// Hands out no batch until the next StartLeading.
  void StopLeading();

  /// A node, or a relay with its children, has asked for the view. False when
  /// the members of its subtree are not known and it has to list them.
  bool OnPull(const inner::pull_request& pull, const control_state& state,
              absl::Time now);

  /// What is to be proposed now, if anything; none follows before OnBatchDone.
  std::optional<inner::registry_batch> BuildBatch(const control_state& state,
                                                  absl::Time now);
  /// The batch taken last was applied or given up.
  void OnBatchDone() { in_flight_ = false; }

  /// When BuildBatch may have something new.
  absl::Time NextDeadline() const { return next_batch_at_; }

  /// Of the nodes with a lease, how many have `version` or a later one.
  in_force_count CountInForce(uint64_t version, absl::Time now) const;

  /// The nodes that have a lease or are in the view, by name.
  std::vector<node_report> Nodes(const control_state& state,
                                 absl::Time now) const;

 private:
  struct heard_node {
    /// 0 when only a relay has told of it.
    uint64_t incarnation = 0;
    uint64_t version = 0;
    absl::Time last_seen;
    absl::Time deadline;
  };
  struct zone_members {
    std::vector<uint64_t> lost;
    size_t suspected = 0;
    size_t nodes = 0;

    bool IsSilent() const { return nodes >= kZoneNodes && suspected == nodes; }
  };
  /// What a node that pulls from control has reported of those behind it.
  struct relay_subtree {
    uint64_t digest = 0;
    /// Rising.
    std::vector<uint64_t> ids;
    absl::Time deadline;
  };
  using zone_table = absl::btree_map<std::string, zone_members>;

  void Hear(const std::string& name, uint64_t version, absl::Time now);
  bool HearSubtree(const inner::pull_request& pull, const control_state& state,
                   absl::Time now);
  void HearMembers(const relay_subtree& relay, uint64_t version,
                   const control_state& state, absl::Time now);
  void DoubtMissing(const std::vector<uint64_t>& before,
                    const std::vector<uint64_t>& after,
                    const control_state& state, absl::Time now);
  void NoteAnnouncement(const inner::pull_request& pull,
                        const control_state& state);
  void AddJoins(const control_state& state, absl::Time now,
                inner::registry_batch* batch);
  bool MayJoin(const inner::node_join& join, const control_state& state,
               absl::Time now) const;
  void AddLeavers(const control_state& state, inner::registry_batch* batch);
  void AddLosses(const control_state& state, absl::Time now,
                 inner::registry_batch* batch);
  zone_table CollectZones(const control_state& state, absl::Time now) const;
  bool IsHeld(const zone_table& zones, absl::Time now);
  static bool IsGone(const std::string& name, const heard_node& node,
                     const control_state& state, absl::Time now);
  void ForgetExpired(const control_state& state, absl::Time now);

  bool leading_ = false;
  bool in_flight_ = false;
  absl::Time next_batch_at_ = absl::InfiniteFuture();
  absl::Time next_loss_at_ = absl::InfiniteFuture();
  /// While more than half of the nodes are silent.
  std::optional<absl::Time> held_until_;
  absl::flat_hash_map<std::string, heard_node> heard_;
  /// By the relay's name.
  absl::flat_hash_map<std::string, relay_subtree> relays_;
  absl::btree_map<std::string, inner::node_join> joining_;
  absl::btree_set<std::string> leaving_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_REGISTRY_CORE_H_
