#include "view/view_history.h"

#include <set>
#include <utility>

#include "view/balancer_groups.h"
#include "view/items_by_id.h"
#include "view/view_codec.h"
#include "view/view_filter.h"

namespace cardamomroute {
namespace {

template <typename Item, typename Id>
std::vector<Id> TouchedIds(const std::vector<Item>& items,
                           const std::vector<Id>& removed) {
  std::vector<Id> ids = removed;
  for (const Item& item : items) {
    ids.push_back(item.id);
  }
  return ids;
}

// For each id an item that has nothing else, and the present one if any; none
// of both where the present one does not pass.
template <typename Id, typename Item>
void Collect(const std::set<Id>& ids, const std::vector<Item>& items,
             const service_filter* filter, std::vector<Item>* before,
             std::vector<Item>* after) {
  for (const Id id : ids) {
    const Item* present = FindById(items, id);
    const bool passes =
        present == nullptr || filter == nullptr || filter->Passes(*present);
    if (!passes) {
      continue;
    }
    before->emplace_back().id = id;
    if (present != nullptr) {
      after->push_back(*present);
    }
  }
}

void Encode(const lost_zone& lost, inner::lost_zone_record* record) {
  record->set_version(lost.version);
  record->set_zone(lost.zone);
  record->set_below_id(lost.below_id);
}

}  // namespace

void view_history::Remember(const view_change& change) {
  if (change.from_version == 0) {
    steps_.clear();
    items_ = 0;
    start_version_ = change.to_version;
    return;
  }
  steps_.push_back({change.to_version,
                    TouchedIds(change.services, change.removed_services),
                    TouchedIds(change.targets, change.removed_targets),
                    TouchedIds(change.balancers, change.removed_balancers),
                    change.lost_zones});
  items_ += steps_.back().Size();
  while (items_ > max_items_) {
    start_version_ = steps_.front().to_version;
    items_ -= steps_.front().Size();
    steps_.pop_front();
  }
}

inner::view_delta view_history::DeltaFrom(
    uint64_t have, const view& present, const std::string& service_name) const {
  const bool is_whole = !ReachesBackTo(have, present);
  if (service_name.empty()) {
    return is_whole ? MakeDelta(view(), present)
                    : TouchedSince(have, present, nullptr);
  }
  const service_filter filter(present, service_name);
  inner::view_delta delta =
      is_whole ? MakeDelta(view(), FilterView(present, service_name))
               : TouchedSince(have, present, &filter);
  delta.set_service(service_name);
  GroupBalancers(&delta);
  return delta;
}

bool view_history::ReachesBackTo(uint64_t have, const view& present) const {
  return have != 0 && have >= start_version_ && have <= present.version;
}

inner::view_delta view_history::TouchedSince(
    uint64_t have, const view& present, const service_filter* filter) const {
  std::set<service_id> services;
  std::set<target_id> targets;
  std::set<uint64_t> balancers;
  for (auto item = steps_.rbegin();
       item != steps_.rend() && item->to_version > have; ++item) {
    services.insert(item->services.begin(), item->services.end());
    targets.insert(item->targets.begin(), item->targets.end());
    balancers.insert(item->balancers.begin(), item->balancers.end());
  }
  view before;
  view after;
  before.version = have;
  after.version = present.version;
  Collect(services, present.services, filter, &before.services,
          &after.services);
  Collect(targets, present.targets, filter, &before.targets, &after.targets);
  Collect(balancers, present.balancers, filter, &before.balancers,
          &after.balancers);
  inner::view_delta delta = MakeDelta(before, after);
  for (const step& item : steps_) {
    for (const lost_zone& lost : item.lost_zones) {
      if (lost.version > have) {
        Encode(lost, delta.add_lost_zones());
      }
    }
  }
  return delta;
}

}  // namespace cardamomroute
