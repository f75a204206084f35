#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_VIEW_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_VIEW_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "base/result.h"
#include "inner/view.pb.h"
#include "view/lost_zone.h"
#include "view/view.h"
#include "view/view_history.h"

namespace cardamomroute::control {

/// Capacity of the history. Each changed id counts as one item, and so does
/// each version.
inline constexpr std::size_t kMaxHistoryItems = std::size_t{1} << 16;

/// The view with its version and a bounded history of changes, from which
/// deltas for nodes with older versions are computed. The cost of an edit or a
/// delta depends on the number of items that differ, not on the size of the
/// view.
class versioned_view {
 public:
  const view& Current() const { return current_; }

  /// Returns the service with this name or at this address, or null.
  const service* FindServiceNamed(const std::string& name) const;
  const service* FindServiceAt(const endpoint& address) const;

  /// Edits take effect in the version that the next Commit opens. Removals take
  /// ids in ascending order; their cost is linear in the size of the view,
  /// however many ids they get.
  void PutService(service item);
  void RemoveServices(const std::vector<service_id>& ids);
  void PutTarget(target item);
  void RemoveTargets(const std::vector<target_id>& ids);
  void PutBalancer(balancer item);
  void RemoveBalancers(const std::vector<uint64_t>& ids);

  /// Records that edits of the same version remove every item that `lost`
  /// contains, at least one. Deltas then name the zone instead of the items.
  /// Commit sets the version of `lost`.
  void AddLostZone(const lost_zone& lost) { lost_zones_.push_back(lost); }

  /// True if any edit since the last Commit changed an item.
  bool HasEdits() const;

  /// Opens `version`, which must be greater than the current one, and stamps
  /// the changed items with it as StampChanges does.
  void Commit(uint64_t version);

  /// Returns the delta from version `have` to the current one, or the whole
  /// view if the history does not reach back to `have`. See view_history.
  inner::view_delta DeltaFrom(uint64_t have,
                              const std::string& service_name) const {
    return history_.DeltaFrom(have, current_, service_name);
  }

  /// Returns the whole view as a delta from version 0.
  inner::view_delta FullDelta() const;

  /// Replaces the view by one that FullDelta returned. Fails with
  /// kMalformedMessage.
  result<void> Restore(const inner::view_delta& whole);

  /// Sets the current view to `version` when versions unknown to this object
  /// may precede it. Nodes with an older version get the whole view, and each
  /// service starts a new epoch without a previous one, because nodes may know
  /// epochs that this object does not.
  void RestartAt(uint64_t version);

 private:
  void ClearHistory();
  void Index(const service& item);
  void Unindex(service_id id);
  /// Views with only the edited services and targets: as of the last Commit,
  /// and as of now with `version`.
  view EditedItemsBefore() const;
  view EditedItemsAfter(uint64_t version) const;
  /// Returns the change from the current version to `version`; call after the
  /// changed items are stamped.
  view_change MakeChange(uint64_t version) const;
  absl::btree_set<service_id> ServicesOfListedTargets() const;
  /// True if the item was removed and belongs to a lost zone.
  template <typename Item>
  bool IsLostWithZone(const std::optional<Item>& before,
                      const Item* current) const;

  view current_;
  absl::flat_hash_map<std::string, service_id> ids_by_name_;
  absl::flat_hash_map<endpoint, service_id> ids_by_address_;
  // Edited items as of the last Commit; no value for an item that did not
  // exist.
  absl::btree_map<service_id, std::optional<service>> original_services_;
  absl::btree_map<target_id, std::optional<target>> original_targets_;
  absl::btree_map<uint64_t, std::optional<balancer>> original_balancers_;
  std::vector<lost_zone> lost_zones_;
  view_history history_{kMaxHistoryItems};
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_VIEW_H_
