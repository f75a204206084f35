#include "view/lost_zone.h"

#include <utility>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/btree_set.h"
#include "view/items_by_id.h"
#include "view/view.h"
#include "view/view_change.h"

namespace cardamomroute {
namespace {

/// Adds the ids to the removed ones, but for items that are listed as present.
template <typename Item, typename Id>
void AddRemoved(const absl::btree_set<Id>& ids, const std::vector<Item>& listed,
                std::vector<Id>* removed) {
  absl::btree_set<Id> all(removed->begin(), removed->end());
  for (const Id id : ids) {
    if (FindById(listed, id) == nullptr) {
      all.insert(id);
    }
  }
  removed->assign(all.begin(), all.end());
}

/// What the lost zones of one change do to its base.
class zone_expansion {
 public:
  explicit zone_expansion(const view& base) : base_(base) {}

  void Take(const lost_zone& lost) {
    absl::btree_set<service_id> touched;
    for (const target& item : base_.targets) {
      if (lost.Contains(item) && targets_.insert(item.id).second) {
        touched.insert(item.service);
      }
    }
    for (const balancer& item : base_.balancers) {
      if (lost.Contains(item)) {
        balancers_.insert(item.id);
      }
    }
    for (const service_id id : touched) {
      Stamp(id, lost.version);
    }
  }

  void AddTo(view_change* change) && {
    AddRemoved(targets_, change->targets, &change->removed_targets);
    AddRemoved(balancers_, change->balancers, &change->removed_balancers);
    for (const service& listed : change->services) {
      services_.insert_or_assign(listed.id, listed);
    }
    for (const service_id id : change->removed_services) {
      services_.erase(id);
    }
    change->services.clear();
    for (auto& [id, item] : services_) {
      change->services.push_back(std::move(item));
    }
  }

 private:
  /// The service's targets changed in `version`; see StampChanges.
  void Stamp(service_id id, uint64_t version) {
    const service* present = base_.FindService(id);
    if (present == nullptr) {
      return;
    }
    service& stamped = services_.try_emplace(id, *present).first->second;
    if (stamped.epoch != version) {
      stamped.previous_epoch = stamped.epoch;
      stamped.epoch = version;
    }
  }

  const view& base_;
  absl::btree_set<target_id> targets_;
  absl::btree_set<uint64_t> balancers_;
  absl::btree_map<service_id, service> services_;
};

}  // namespace

void ExpandLostZones(const view& base, view_change* change) {
  if (change->lost_zones.empty()) {
    return;
  }
  zone_expansion expansion(base);
  for (const lost_zone& lost : change->lost_zones) {
    if (lost.version > base.version) {
      expansion.Take(lost);
    }
  }
  std::move(expansion).AddTo(change);
  change->lost_zones.clear();
}

}  // namespace cardamomroute
