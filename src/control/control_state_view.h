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

/// Ids kept of recent changes; a version counts as one more.
inline constexpr std::size_t kRememberedItems = std::size_t{1} << 16;

/// The view as it goes from version to version, with enough of its recent
/// history to tell a node what it lacks. An edit and a delta cost time by the
/// number of items that differ, not by the size of the view.
class versioned_view {
 public:
  const view& Present() const { return present_; }

  /// The service with this name or at this address, or null.
  const service* FindServiceNamed(const std::string& name) const;
  const service* FindServiceAt(const endpoint& address) const;

  /// Edits belong to the version that the next Commit opens. Removals take
  /// rising ids, and time by the size of the view whatever their number.
  void PutService(service item);
  void RemoveServices(const std::vector<service_id>& ids);
  void PutTarget(target item);
  void RemoveTargets(const std::vector<target_id>& ids);
  void PutBalancer(balancer item);
  void RemoveBalancers(const std::vector<uint64_t>& ids);

  /// All that `lost` contains, one node at least, is removed by edits of the
  /// same version; deltas then name the zone. Commit sets the version of it.
  void NoteLostZone(const lost_zone& lost) { lost_zones_.push_back(lost); }

  /// True if an edit since the last Commit changed anything.
  bool IsEdited() const;

  /// Opens `version`, which is above the present one, and stamps what changed
  /// in it as StampChanges does.
  void Commit(uint64_t version);

  /// What leads a node from version `have` to the present one; the whole view
  /// where the history does not reach back that far. See view_history.
  inner::view_delta DeltaFrom(uint64_t have,
                              const std::string& service_name) const {
    return history_.DeltaFrom(have, present_, service_name);
  }

  /// The whole view as a delta from version 0.
  inner::view_delta Whole() const;

  /// Takes what Whole gave. Fails with kMalformedMessage.
  result<void> Restore(const inner::view_delta& whole);

  /// Gives the present view a version that follows others than it knows of:
  /// whoever has an older version gets the whole view, and no epoch of a
  /// service follows one that a node may know.
  void BeginAnew(uint64_t version);

 private:
  void ForgetHistory();
  void Index(const service& item);
  void Unindex(service_id id);
  view Before() const;
  view After(uint64_t version) const;
  /// What becomes of the present version by the edits and stamps so far.
  view_change Change(uint64_t version) const;
  absl::btree_set<service_id> ServicesOfListedTargets() const;
  /// True for an item that a lost zone stands for.
  template <typename Item>
  bool IsLostWithZone(const std::optional<Item>& before,
                      const Item* present) const;

  view present_;
  absl::flat_hash_map<std::string, service_id> names_;
  absl::flat_hash_map<endpoint, service_id> addresses_;
  // What each edited item was before.
  absl::btree_map<service_id, std::optional<service>> old_services_;
  absl::btree_map<target_id, std::optional<target>> old_targets_;
  absl::btree_map<uint64_t, std::optional<balancer>> old_balancers_;
  std::vector<lost_zone> lost_zones_;
  view_history history_{kRememberedItems};
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_VIEW_H_
