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

/// Lease of a node that pulls from control directly. A node that the leader has
/// not heard from for this long is lost. Longer than kNodeLease, so that a node
/// that is cut off stops taking flows before it leaves the view.
inline constexpr absl::Duration kRegistryLease = absl::Seconds(4);

/// Lease of a node that pulls through relays. When a relay is lost, it may take
/// this long until the node's pulls reach control by another path.
inline constexpr absl::Duration kRelayedLease = absl::Seconds(6);

/// Remaining lease of a node that its relay no longer lists as a member while
/// the relay itself keeps pulling. Together with kMemberSilence, after which
/// the relay drops the node from the list, this adds up to kRegistryLease.
inline constexpr absl::Duration kMissingMemberLease = absl::Milliseconds(2800);

/// When every node of an availability zone has been silent for this long, none
/// of them is declared lost until the leases of all have expired, so that one
/// log entry removes the whole zone.
inline constexpr absl::Duration kZoneSuspicionTimeout = absl::Seconds(2);

/// Availability zones with fewer nodes are not removed as a whole.
inline constexpr size_t kMinZoneNodes = 3;

/// When the leases of more than half of all nodes have expired, the fault may
/// lie with the leader: no node is declared lost for this long.
inline constexpr absl::Duration kMassLossDelay = absl::Seconds(10);

/// Minimum time between two batches.
inline constexpr absl::Duration kMinBatchInterval = absl::Milliseconds(50);

/// Minimum time between two scans for lost nodes.
inline constexpr absl::Duration kLossScanInterval = absl::Milliseconds(250);

/// Batches with this many nodes take no further joins or departures.
inline constexpr size_t kMaxBatchNodes = 2048;

/// Number of nodes with a valid lease, and how many of them have a given
/// version of the view or a later one.
struct in_force_count {
  uint32_t nodes = 0;
  uint32_t in_force = 0;
};

/// Status of one node as the leader knows it.
struct node_report {
  std::string name;
  /// Version of the view that the node had at the last contact.
  uint64_t version = 0;
  absl::Time last_seen;
};

/// Tracks on the leader what the replicated state does not hold: when each node
/// was last heard from, and which version of the view it has. It turns changes
/// into batches for the log, one in flight at a time. A node leaves the view
/// only if it announces that it leaves, or if neither it nor a relay on its
/// behalf has been heard from during its lease. Health checks have no
/// influence.
class registry_core {
 public:
  /// Discards everything known from an earlier leadership and gives every node
  /// in `state` a full lease from `now`.
  void StartLeading(const control_state& state, absl::Time now);
  /// Stops building batches until the next StartLeading.
  void StopLeading();

  /// Processes a pull of the view by a node, or by a relay for itself and its
  /// subtree. Returns false if the members of the subtree are unknown, in which
  /// case the relay has to list them.
  bool OnPull(const inner::pull_request& pull, const control_state& state,
              absl::Time now);

  /// Returns the next batch to propose, or nothing if none is due. Returns
  /// nothing while a batch is in flight, that is until OnBatchDone.
  std::optional<inner::registry_batch> BuildBatch(const control_state& state,
                                                  absl::Time now);
  /// Reports that the batch in flight was applied or abandoned.
  void OnBatchDone() { batch_in_flight_ = false; }

  /// The earliest time at which BuildBatch may return a batch.
  absl::Time NextDeadline() const { return next_batch_at_; }

  /// Counts the nodes with a valid lease, and those of them that have `version`
  /// or a later one.
  in_force_count CountInForce(uint64_t version, absl::Time now) const;

  /// Returns the nodes that have a valid lease or are in the view, sorted by
  /// name.
  std::vector<node_report> Nodes(const control_state& state,
                                 absl::Time now) const;

 private:
  struct node_contact {
    /// 0 if the node is known only from a relay's report.
    uint64_t incarnation = 0;
    uint64_t version = 0;
    absl::Time last_seen;
    absl::Time deadline;
  };
  struct zone_status {
    std::vector<uint64_t> lost;
    size_t suspected_count = 0;
    size_t node_count = 0;

    bool IsSilent() const {
      return node_count >= kMinZoneNodes && suspected_count == node_count;
    }
  };
  /// The members that a node which pulls from control has reported for its
  /// subtree.
  struct relay_subtree {
    uint64_t digest = 0;
    /// In ascending order.
    std::vector<uint64_t> ids;
    absl::Time deadline;
  };
  using zone_table = absl::btree_map<std::string, zone_status>;

  void RecordContact(const std::string& name, uint64_t version, absl::Time now);
  bool UpdateSubtree(const inner::pull_request& pull,
                     const control_state& state, absl::Time now);
  void RenewMembers(const relay_subtree& relay, uint64_t version,
                    const control_state& state, absl::Time now);
  void ShortenMissingLeases(const std::vector<uint64_t>& before,
                            const std::vector<uint64_t>& after,
                            const control_state& state, absl::Time now);
  void RecordAnnouncement(const inner::pull_request& pull,
                          const control_state& state);
  void AddJoins(const control_state& state, absl::Time now,
                inner::registry_batch* batch);
  bool CanJoin(const inner::node_join& join, const control_state& state,
               absl::Time now) const;
  void AddDepartures(const control_state& state, inner::registry_batch* batch);
  void AddLosses(const control_state& state, absl::Time now,
                 inner::registry_batch* batch);
  zone_table CollectZones(const control_state& state, absl::Time now) const;
  bool IsMassLossDelayed(const zone_table& zones, absl::Time now);
  static bool IsExpired(const std::string& name, const node_contact& node,
                        const control_state& state, absl::Time now);
  void RemoveExpired(const control_state& state, absl::Time now);

  bool leading_ = false;
  bool batch_in_flight_ = false;
  absl::Time next_batch_at_ = absl::InfiniteFuture();
  absl::Time next_loss_scan_at_ = absl::InfiniteFuture();
  /// Set while the leases of more than half of the nodes have expired.
  std::optional<absl::Time> mass_loss_delayed_until_;
  absl::flat_hash_map<std::string, node_contact> contacts_;
  /// Keyed by the name of the relay.
  absl::flat_hash_map<std::string, relay_subtree> relays_;
  absl::btree_map<std::string, inner::node_join> joining_;
  absl::btree_set<std::string> leaving_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_REGISTRY_CORE_H_
