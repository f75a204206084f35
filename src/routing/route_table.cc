#include "routing/route_table.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

bool route_table::Apply(const view_change& change) {
  const bool whole = change.from_version == 0;
  if (change.to_version <= version_ ||
      (!whole && change.from_version != version_)) {
    return false;
  }
  previous_.clear();
  if (whole) {
    Clear();
  }
  ApplyServices(change);
  ApplyTargets(change);
  InstallTouched();
  version_ = change.to_version;
  return true;
}

service_id route_table::FindServiceAt(const endpoint& address) const {
  const auto found = by_address_.find(address);
  return found != by_address_.end() ? found->second : 0;
}

const endpoint* route_table::FindAddress(service_id service) const {
  const auto found = addresses_.find(service);
  return found != addresses_.end() ? &found->second : nullptr;
}

const service_routes* route_table::Find(service_id service) const {
  const auto found = routes_.find(service);
  return found != routes_.end() ? &found->second : nullptr;
}

const service_routes* route_table::FindPrevious(service_id service) const {
  const auto found = previous_.find(service);
  return found != previous_.end() ? &found->second : Find(service);
}

const route_target* route_table::FindTarget(target_id id) const {
  const auto found = service_of_.find(id);
  const service_routes* routes =
      found != service_of_.end() ? Find(found->second) : nullptr;
  return routes != nullptr ? routes->Find(id) : nullptr;
}

void route_table::Clear() {
  previous_ = std::move(routes_);
  routes_.clear();
  by_address_.clear();
  addresses_.clear();
  service_of_.clear();
}

void route_table::ApplyServices(const view_change& change) {
  const auto drop_address = [&](service_id id) {
    const auto old_address = addresses_.find(id);
    if (old_address == addresses_.end()) {
      return;
    }
    const auto owner = by_address_.find(old_address->second);
    if (owner != by_address_.end() && owner->second == id) {
      by_address_.erase(owner);
    }
    addresses_.erase(old_address);
  };
  for (const service_id id : change.removed_services) {
    drop_address(id);
  }
  for (const service& item : change.services) {
    drop_address(item.id);
  }
  for (const service& item : change.services) {
    by_address_[item.address] = item.id;
    addresses_[item.id] = item.address;
    routes_.try_emplace(item.id);
  }
}

void route_table::ApplyTargets(const view_change& change) {
  for (const target_id id : change.removed_targets) {
    DropTarget(id);
  }
  for (const target& item : change.targets) {
    DropTarget(item.id);
    Touched(item.service)->push_back(MakeRouteTarget(item));
    service_of_[item.id] = item.service;
  }
}

std::vector<route_target>* route_table::Touched(service_id service) {
  const auto [place, is_new] = touched_.try_emplace(service);
  const service_routes* routes = Find(service);
  if (is_new && routes != nullptr) {
    place->second = routes->targets();
  }
  return &place->second;
}

void route_table::DropTarget(target_id id) {
  const auto found = service_of_.find(id);
  if (found == service_of_.end()) {
    return;
  }
  std::vector<route_target>* targets = Touched(found->second);
  targets->erase(
      std::remove_if(targets->begin(), targets->end(),
                     [&](const route_target& item) { return item.id == id; }),
      targets->end());
  service_of_.erase(found);
}

void route_table::InstallTouched() {
  for (auto& [service, targets] : touched_) {
    service_routes& routes = routes_[service];
    previous_.try_emplace(service, std::move(routes));
    routes = service_routes(std::move(targets));
  }
  touched_.clear();
}

}  // namespace cardamomroute
