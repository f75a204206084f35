#include "control/control_state_view.h"

#include <algorithm>
#include <utility>

#include "view/items_by_id.h"
#include "view/view_codec.h"

namespace cardamomroute::control {
namespace {

// Keeps what the item was before its first edit since the last commit.
template <typename Id, typename Item>
void KeepOld(Id id, const std::vector<Item>& items,
             absl::btree_map<Id, std::optional<Item>>* old) {
  const Item* present = FindById(items, id);
  old->try_emplace(
      id, present != nullptr ? std::optional<Item>(*present) : std::nullopt);
}

template <typename Item>
void Put(Item item, std::vector<Item>* items) {
  const auto at = LowerBoundById(*items, item.id);
  if (at != items->end() && at->id == item.id) {
    *at = std::move(item);
  } else {
    items->insert(at, std::move(item));
  }
}

// Erases the items with these ids, which rise, in one pass.
template <typename Id, typename Item>
void EraseAll(const std::vector<Id>& ids, std::vector<Item>* items) {
  if (ids.empty()) {
    return;
  }
  auto next = ids.begin();
  const auto is_next = [&](const Item& item) {
    while (next != ids.end() && *next < item.id) {
      ++next;
    }
    return next != ids.end() && *next == item.id;
  };
  const auto first = LowerBoundById(*items, ids.front());
  items->erase(std::remove_if(first, items->end(), is_next), items->end());
}

// Drops the edits that left the item as it was.
template <typename Id, typename Item>
void DropUnchanged(const std::vector<Item>& items,
                   absl::btree_map<Id, std::optional<Item>>* old) {
  for (auto edit = old->begin(); edit != old->end();) {
    const Item* present = FindById(items, edit->first);
    const bool same = present == nullptr ? !edit->second.has_value()
                                         : edit->second == *present;
    edit = same ? old->erase(edit) : std::next(edit);
  }
}

template <typename Id, typename Item>
bool HasChange(const std::vector<Item>& items,
               const absl::btree_map<Id, std::optional<Item>>& old) {
  auto changed = old;
  DropUnchanged(items, &changed);
  return !changed.empty();
}

template <typename Id, typename Item>
std::vector<Item> OldItems(
    const absl::btree_map<Id, std::optional<Item>>& old) {
  std::vector<Item> items;
  for (const auto& [id, item] : old) {
    if (item) {
      items.push_back(*item);
    }
  }
  return items;
}

template <typename Id, typename Item>
std::vector<Item> NewItems(const absl::btree_map<Id, std::optional<Item>>& old,
                           const std::vector<Item>& items) {
  std::vector<Item> found;
  for (const auto& [id, item] : old) {
    if (const Item* present = FindById(items, id)) {
      found.push_back(*present);
    }
  }
  return found;
}

// Adds what became of the edited items for which `is_listed` holds.
template <typename Id, typename Item, typename Predicate>
void List(const absl::btree_map<Id, std::optional<Item>>& old,
          const std::vector<Item>& items, Predicate is_listed,
          std::vector<Item>* changed, std::vector<Id>* removed) {
  for (const auto& [id, before] : old) {
    const Item* present = FindById(items, id);
    if (!is_listed(before, present)) {
      continue;
    }
    if (present != nullptr) {
      changed->push_back(*present);
    } else {
      removed->push_back(id);
    }
  }
}

bool DifferOnlyInEpochs(const std::optional<service>& before,
                        const service* present) {
  if (!before || present == nullptr) {
    return false;
  }
  service stamped = *before;
  stamped.epoch = present->epoch;
  stamped.previous_epoch = present->previous_epoch;
  return stamped == *present;
}

}  // namespace

const service* versioned_view::FindServiceNamed(const std::string& name) const {
  const auto found = names_.find(name);
  return found != names_.end() ? present_.FindService(found->second) : nullptr;
}

const service* versioned_view::FindServiceAt(const endpoint& address) const {
  const auto found = addresses_.find(address);
  return found != addresses_.end() ? present_.FindService(found->second)
                                   : nullptr;
}

void versioned_view::Index(const service& item) {
  names_[item.name] = item.id;
  addresses_[item.address] = item.id;
}

void versioned_view::Unindex(service_id id) {
  const service* item = present_.FindService(id);
  if (item == nullptr) {
    return;
  }
  names_.erase(item->name);
  const auto at = addresses_.find(item->address);
  if (at != addresses_.end() && at->second == id) {
    addresses_.erase(at);
  }
}

void versioned_view::PutService(service item) {
  const service* present = present_.FindService(item.id);
  if (present != nullptr && *present == item) {
    return;
  }
  KeepOld(item.id, present_.services, &old_services_);
  Unindex(item.id);
  Index(item);
  Put(std::move(item), &present_.services);
}

void versioned_view::RemoveServices(const std::vector<service_id>& ids) {
  for (const service_id id : ids) {
    KeepOld(id, present_.services, &old_services_);
    Unindex(id);
  }
  EraseAll(ids, &present_.services);
}

void versioned_view::PutTarget(target item) {
  KeepOld(item.id, present_.targets, &old_targets_);
  Put(std::move(item), &present_.targets);
}

void versioned_view::RemoveTargets(const std::vector<target_id>& ids) {
  for (const target_id id : ids) {
    KeepOld(id, present_.targets, &old_targets_);
  }
  EraseAll(ids, &present_.targets);
}

void versioned_view::PutBalancer(balancer item) {
  KeepOld(item.id, present_.balancers, &old_balancers_);
  Put(std::move(item), &present_.balancers);
}

void versioned_view::RemoveBalancers(const std::vector<uint64_t>& ids) {
  for (const uint64_t id : ids) {
    KeepOld(id, present_.balancers, &old_balancers_);
  }
  EraseAll(ids, &present_.balancers);
}

bool versioned_view::IsEdited() const {
  return HasChange(present_.services, old_services_) ||
         HasChange(present_.targets, old_targets_) ||
         HasChange(present_.balancers, old_balancers_);
}

view versioned_view::Before() const {
  view before;
  before.version = present_.version;
  before.services = OldItems(old_services_);
  before.targets = OldItems(old_targets_);
  return before;
}

view versioned_view::After(uint64_t version) const {
  view after;
  after.version = version;
  after.services = NewItems(old_services_, present_.services);
  after.targets = NewItems(old_targets_, present_.targets);
  return after;
}

void versioned_view::Commit(uint64_t version) {
  DropUnchanged(present_.services, &old_services_);
  DropUnchanged(present_.targets, &old_targets_);
  DropUnchanged(present_.balancers, &old_balancers_);
  // A change of a target changes the epoch of its services.
  for (const auto& [id, old] : old_targets_) {
    if (const target* present = present_.FindTarget(id)) {
      KeepOld(present->service, present_.services, &old_services_);
    }
    if (old) {
      KeepOld(old->service, present_.services, &old_services_);
    }
  }
  view after = After(version);
  StampChanges(Before(), &after);
  for (service& item : after.services) {
    Put(std::move(item), &present_.services);
  }
  for (const target& item : after.targets) {
    Put(item, &present_.targets);
  }
  DropUnchanged(present_.services, &old_services_);
  for (lost_zone& lost : lost_zones_) {
    lost.version = version;
  }
  history_.Remember(Change(version));
  present_.version = version;
  old_services_.clear();
  old_targets_.clear();
  old_balancers_.clear();
  lost_zones_.clear();
}

template <typename Item>
bool versioned_view::IsLostWithZone(const std::optional<Item>& before,
                                    const Item* present) const {
  return before && present == nullptr &&
         std::any_of(
             lost_zones_.begin(), lost_zones_.end(),
             [&](const lost_zone& lost) { return lost.Contains(*before); });
}

absl::btree_set<service_id> versioned_view::ServicesOfListedTargets() const {
  absl::btree_set<service_id> services;
  for (const auto& [id, before] : old_targets_) {
    const target* present = present_.FindTarget(id);
    if (IsLostWithZone(before, present)) {
      continue;
    }
    if (before) {
      services.insert(before->service);
    }
    if (present != nullptr) {
      services.insert(present->service);
    }
  }
  return services;
}

view_change versioned_view::Change(uint64_t version) const {
  view_change change;
  change.from_version = present_.version;
  change.to_version = version;
  change.lost_zones = lost_zones_;
  const auto is_listed = [&](const auto& before, const auto* present) {
    return !IsLostWithZone(before, present);
  };
  List(old_targets_, present_.targets, is_listed, &change.targets,
       &change.removed_targets);
  List(old_balancers_, present_.balancers, is_listed, &change.balancers,
       &change.removed_balancers);
  // A node stamps the services of lost targets itself, by the targets that it
  // knows: it is told of services whose targets changed in another way too.
  const absl::btree_set<service_id> listed = ServicesOfListedTargets();
  List(
      old_services_, present_.services,
      [&](const std::optional<service>& before, const service* present) {
        return !listed.contains(before ? before->id : present->id) &&
               !DifferOnlyInEpochs(before, present);
      },
      &change.services, &change.removed_services);
  for (const service_id id : listed) {
    if (const service* present = FindById(present_.services, id)) {
      change.services.push_back(*present);
    } else {
      change.removed_services.push_back(id);
    }
  }
  return change;
}

inner::view_delta versioned_view::Whole() const {
  return MakeDelta(view(), present_);
}

result<void> versioned_view::Restore(const inner::view_delta& whole) {
  *this = versioned_view();
  if (whole.to_version() == 0) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(restored, ApplyDelta(view(), whole));
  present_ = std::move(restored);
  for (const service& item : present_.services) {
    Index(item);
  }
  ForgetHistory();
  return boost::outcome_v2::success();
}

void versioned_view::BeginAnew(uint64_t version) {
  for (service& item : present_.services) {
    item.epoch = version;
    item.previous_epoch = 0;
  }
  present_.version = version;
  ForgetHistory();
}

void versioned_view::ForgetHistory() {
  view_change whole;
  whole.to_version = present_.version;
  history_.Remember(whole);
}

}  // namespace cardamomroute::control
