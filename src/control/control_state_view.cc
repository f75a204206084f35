#include "control/control_state_view.h"

#include <algorithm>
#include <utility>

#include "view/items_by_id.h"
#include "view/view_codec.h"

namespace cardamomroute::control {
namespace {

// Saves the item as it was before its first edit since the last commit.
template <typename Id, typename Item>
void SaveOriginal(Id id, const std::vector<Item>& items,
                  absl::btree_map<Id, std::optional<Item>>* originals) {
  const Item* current = FindById(items, id);
  originals->try_emplace(
      id, current != nullptr ? std::optional<Item>(*current) : std::nullopt);
}

template <typename Item>
void Upsert(Item item, std::vector<Item>* items) {
  const auto at = LowerBoundById(*items, item.id);
  if (at != items->end() && at->id == item.id) {
    *at = std::move(item);
  } else {
    items->insert(at, std::move(item));
  }
}

// Erases the items with these ids, which are in ascending order, in one pass.
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

// Drops the entries of items that are equal to their originals.
template <typename Id, typename Item>
void DropUnchanged(const std::vector<Item>& items,
                   absl::btree_map<Id, std::optional<Item>>* originals) {
  for (auto edit = originals->begin(); edit != originals->end();) {
    const Item* current = FindById(items, edit->first);
    const bool is_unchanged = current == nullptr ? !edit->second.has_value()
                                                 : edit->second == *current;
    edit = is_unchanged ? originals->erase(edit) : std::next(edit);
  }
}

template <typename Id, typename Item>
bool HasChanges(const std::vector<Item>& items,
                const absl::btree_map<Id, std::optional<Item>>& originals) {
  auto changed = originals;
  DropUnchanged(items, &changed);
  return !changed.empty();
}

template <typename Id, typename Item>
std::vector<Item> OriginalItems(
    const absl::btree_map<Id, std::optional<Item>>& originals) {
  std::vector<Item> items;
  for (const auto& [id, item] : originals) {
    if (item) {
      items.push_back(*item);
    }
  }
  return items;
}

template <typename Id, typename Item>
std::vector<Item> CurrentItems(
    const absl::btree_map<Id, std::optional<Item>>& originals,
    const std::vector<Item>& items) {
  std::vector<Item> found;
  for (const auto& [id, item] : originals) {
    if (const Item* current = FindById(items, id)) {
      found.push_back(*current);
    }
  }
  return found;
}

// Appends the edited items for which `is_listed` returns true: those that still
// exist to `changed`, the ids of the others to `removed`.
template <typename Id, typename Item, typename Predicate>
void AppendChanges(const absl::btree_map<Id, std::optional<Item>>& originals,
                   const std::vector<Item>& items, Predicate is_listed,
                   std::vector<Item>* changed, std::vector<Id>* removed) {
  for (const auto& [id, before] : originals) {
    const Item* current = FindById(items, id);
    if (!is_listed(before, current)) {
      continue;
    }
    if (current != nullptr) {
      changed->push_back(*current);
    } else {
      removed->push_back(id);
    }
  }
}

bool DifferOnlyInEpochs(const std::optional<service>& before,
                        const service* current) {
  if (!before || current == nullptr) {
    return false;
  }
  service stamped = *before;
  stamped.epoch = current->epoch;
  stamped.previous_epoch = current->previous_epoch;
  return stamped == *current;
}

}  // namespace

const service* versioned_view::FindServiceNamed(const std::string& name) const {
  const auto found = ids_by_name_.find(name);
  return found != ids_by_name_.end() ? current_.FindService(found->second)
                                     : nullptr;
}

const service* versioned_view::FindServiceAt(const endpoint& address) const {
  const auto found = ids_by_address_.find(address);
  return found != ids_by_address_.end() ? current_.FindService(found->second)
                                        : nullptr;
}

void versioned_view::Index(const service& item) {
  ids_by_name_[item.name] = item.id;
  ids_by_address_[item.address] = item.id;
}

void versioned_view::Unindex(service_id id) {
  const service* item = current_.FindService(id);
  if (item == nullptr) {
    return;
  }
  ids_by_name_.erase(item->name);
  const auto at = ids_by_address_.find(item->address);
  if (at != ids_by_address_.end() && at->second == id) {
    ids_by_address_.erase(at);
  }
}

void versioned_view::PutService(service item) {
  const service* current = current_.FindService(item.id);
  if (current != nullptr && *current == item) {
    return;
  }
  SaveOriginal(item.id, current_.services, &original_services_);
  Unindex(item.id);
  Index(item);
  Upsert(std::move(item), &current_.services);
}

void versioned_view::RemoveServices(const std::vector<service_id>& ids) {
  for (const service_id id : ids) {
    SaveOriginal(id, current_.services, &original_services_);
    Unindex(id);
  }
  EraseAll(ids, &current_.services);
}

void versioned_view::PutTarget(target item) {
  SaveOriginal(item.id, current_.targets, &original_targets_);
  Upsert(std::move(item), &current_.targets);
}

void versioned_view::RemoveTargets(const std::vector<target_id>& ids) {
  for (const target_id id : ids) {
    SaveOriginal(id, current_.targets, &original_targets_);
  }
  EraseAll(ids, &current_.targets);
}

void versioned_view::PutBalancer(balancer item) {
  SaveOriginal(item.id, current_.balancers, &original_balancers_);
  Upsert(std::move(item), &current_.balancers);
}

void versioned_view::RemoveBalancers(const std::vector<uint64_t>& ids) {
  for (const uint64_t id : ids) {
    SaveOriginal(id, current_.balancers, &original_balancers_);
  }
  EraseAll(ids, &current_.balancers);
}

bool versioned_view::HasEdits() const {
  return HasChanges(current_.services, original_services_) ||
         HasChanges(current_.targets, original_targets_) ||
         HasChanges(current_.balancers, original_balancers_);
}

view versioned_view::EditedItemsBefore() const {
  view before;
  before.version = current_.version;
  before.services = OriginalItems(original_services_);
  before.targets = OriginalItems(original_targets_);
  return before;
}

view versioned_view::EditedItemsAfter(uint64_t version) const {
  view after;
  after.version = version;
  after.services = CurrentItems(original_services_, current_.services);
  after.targets = CurrentItems(original_targets_, current_.targets);
  return after;
}

void versioned_view::Commit(uint64_t version) {
  DropUnchanged(current_.services, &original_services_);
  DropUnchanged(current_.targets, &original_targets_);
  DropUnchanged(current_.balancers, &original_balancers_);
  // A changed target changes the epochs of its old and its new service.
  for (const auto& [id, original] : original_targets_) {
    if (const target* current = current_.FindTarget(id)) {
      SaveOriginal(current->service, current_.services, &original_services_);
    }
    if (original) {
      SaveOriginal(original->service, current_.services, &original_services_);
    }
  }
  view after = EditedItemsAfter(version);
  StampChanges(EditedItemsBefore(), &after);
  for (service& item : after.services) {
    Upsert(std::move(item), &current_.services);
  }
  for (const target& item : after.targets) {
    Upsert(item, &current_.targets);
  }
  DropUnchanged(current_.services, &original_services_);
  for (lost_zone& lost : lost_zones_) {
    lost.version = version;
  }
  history_.Remember(MakeChange(version));
  current_.version = version;
  original_services_.clear();
  original_targets_.clear();
  original_balancers_.clear();
  lost_zones_.clear();
}

template <typename Item>
bool versioned_view::IsLostWithZone(const std::optional<Item>& before,
                                    const Item* current) const {
  return before && current == nullptr &&
         std::any_of(
             lost_zones_.begin(), lost_zones_.end(),
             [&](const lost_zone& lost) { return lost.Contains(*before); });
}

absl::btree_set<service_id> versioned_view::ServicesOfListedTargets() const {
  absl::btree_set<service_id> services;
  for (const auto& [id, before] : original_targets_) {
    const target* current = current_.FindTarget(id);
    if (IsLostWithZone(before, current)) {
      continue;
    }
    if (before) {
      services.insert(before->service);
    }
    if (current != nullptr) {
      services.insert(current->service);
    }
  }
  return services;
}

view_change versioned_view::MakeChange(uint64_t version) const {
  view_change change;
  change.from_version = current_.version;
  change.to_version = version;
  change.lost_zones = lost_zones_;
  const auto is_listed = [&](const auto& before, const auto* current) {
    return !IsLostWithZone(before, current);
  };
  AppendChanges(original_targets_, current_.targets, is_listed, &change.targets,
                &change.removed_targets);
  AppendChanges(original_balancers_, current_.balancers, is_listed,
                &change.balancers, &change.removed_balancers);
  // A node that receives a lost zone stamps the services of the lost targets
  // itself, from the targets that it knows. Changed targets therefore add their
  // service to the change only if one of them is not in a lost zone.
  const absl::btree_set<service_id> listed = ServicesOfListedTargets();
  AppendChanges(
      original_services_, current_.services,
      [&](const std::optional<service>& before, const service* current) {
        return !listed.contains(before ? before->id : current->id) &&
               !DifferOnlyInEpochs(before, current);
      },
      &change.services, &change.removed_services);
  for (const service_id id : listed) {
    if (const service* current = FindById(current_.services, id)) {
      change.services.push_back(*current);
    } else {
      change.removed_services.push_back(id);
    }
  }
  return change;
}

inner::view_delta versioned_view::FullDelta() const {
  return MakeDelta(view(), current_);
}

result<void> versioned_view::Restore(const inner::view_delta& whole) {
  *this = versioned_view();
  if (whole.to_version() == 0) {
    return boost::outcome_v2::success();
  }
  BOOST_OUTCOME_TRY(restored, ApplyDelta(view(), whole));
  current_ = std::move(restored);
  for (const service& item : current_.services) {
    Index(item);
  }
  ClearHistory();
  return boost::outcome_v2::success();
}

void versioned_view::RestartAt(uint64_t version) {
  for (service& item : current_.services) {
    item.epoch = version;
    item.previous_epoch = 0;
  }
  current_.version = version;
  ClearHistory();
}

void versioned_view::ClearHistory() {
  view_change whole;
  whole.to_version = current_.version;
  history_.Remember(whole);
}

}  // namespace cardamomroute::control
