#ifndef CARDAMOMROUTE_ROUTING_EPOCH_HISTORY_H_
#define CARDAMOMROUTE_ROUTING_EPOCH_HISTORY_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "routing/service_routes.h"
#include "view/view.h"

namespace cardamomroute {

/// How long a target that is no longer a flow's home keeps what it knew as
/// its home.
inline constexpr absl::Duration kRedirectLifetime = absl::Seconds(10);

/// What a target can say about a flow of which it has no entry.
enum class flow_authority : uint8_t {
  /// It is not the flow's home.
  kNotHome,
  /// It is the home, and nobody holds the flow.
  kNobodyHolds,
  /// It is the home, but the previous home may know a holder.
  kAskPrevious,
  /// It is the home, but any target of the service may be the holder.
  kAwaitSync,
};

/// An authority, with the target to ask in kAskPrevious.
struct authority_answer {
  flow_authority authority = flow_authority::kNotHome;
  target_id previous_home = 0;
  /// Epoch under which `previous_home` was the home.
  uint64_t previous_epoch = 0;
};

/// The routes of one service under the present epoch and recent ones, as one
/// of its targets saw them. Tells since when this target is the home of a
/// flow, and whether all targets that could hold flows from before that
/// moment have registered them here.
class epoch_history {
 public:
  explicit epoch_history(target_id own_id) : own_id_(own_id) {}

  /// Takes the service's state in a newer view. Returns whether the set of
  /// targets differs from the one before.
  bool OnView(const view& current, const service& item, absl::Time now);

  /// All flows of `peer` that belong here were registered as of its view
  /// `peer_version`, which is not newer than this target's.
  void OnSynced(target_id peer, uint64_t peer_version);

  /// Gives up waiting for targets that stayed silent past the deadline.
  void OnTick(absl::Time now);

  /// Targets whose registrations are still awaited.
  std::vector<target_id> AwaitedPeers() const;

  /// What this target can say about a flow under the present epoch.
  authority_answer AuthorityOver(uint64_t flow_hash) const;

  /// True when this target was the flow's home under `epoch` and, having no
  /// entry for it, knows that nobody held it then. False too for an epoch
  /// that ended so long ago that redirects from then may have been dropped.
  bool KnowsUnheldAt(uint64_t flow_hash, uint64_t epoch, absl::Time now) const;

  /// True when `home` was the flow's home under `epoch` and under every epoch
  /// since.
  bool IsHomeSince(uint64_t flow_hash, target_id home, uint64_t epoch) const;

  /// True when the epoch right before the present one was not seen.
  bool IsGapBeforePresent() const;

  /// Routes under the present epoch.
  const service_routes& routes() const { return epochs_.back().routes; }
  bool empty() const { return epochs_.empty(); }
  uint64_t epoch() const { return epochs_.back().epoch; }

 private:
  struct epoch_entry {
    uint64_t epoch = 0;
    /// View version at which this target saw it first.
    uint64_t version = 0;
    service_routes routes;
    /// Worked out from the stamps of a later view.
    bool is_derived = false;
    /// What lies before is not the epoch right before this one.
    bool is_gap = false;
    /// Targets that may hold flows which became this target's share here.
    absl::flat_hash_set<target_id> awaited;
    absl::Time deadline = absl::InfinitePast();
    /// Latest view version of a target at the moment that ended its wait.
    uint64_t synced_version = 0;
    /// When the next epoch was seen.
    absl::Time ended_at = absl::InfiniteFuture();
  };

  epoch_entry MakeEntry(const view& current, const service& item) const;
  epoch_entry DerivePrevious(const epoch_entry& entry,
                             const service& item) const;
  void Await(epoch_entry* entry, absl::Time now) const;
  /// Index of the entry at which this target became the flow's home, walking
  /// back from `index`, where it is the home.
  std::size_t FindStart(uint64_t flow_hash, std::size_t index) const;
  bool KnowsAllHolders(std::size_t start) const;
  /// True when all targets had registered their flows here before this target
  /// lost the share that it had under entry `index`, since entry `start`.
  bool KnewAllHolders(std::size_t start, std::size_t index) const;
  void DropGonePeers();
  void Prune();

  target_id own_id_;
  /// Oldest first.
  std::deque<epoch_entry> epochs_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_EPOCH_HISTORY_H_
