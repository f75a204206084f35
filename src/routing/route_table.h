#ifndef CARDAMOMROUTE_ROUTING_ROUTE_TABLE_H_
#define CARDAMOMROUTE_ROUTING_ROUTE_TABLE_H_

#include <cstdint>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "routing/service_routes.h"
#include "view/view_change.h"

namespace cardamomroute {

/// The routes of all services as of one version of the view, and those that
/// the last change replaced.
class route_table {
 public:
  /// Takes a change that starts from this table's version, or from version 0
  /// (the whole view). Works only on the services that the change touches.
  /// Changes that lead to no newer version or start elsewhere are ignored;
  /// returns whether the change was taken.
  bool Apply(const view_change& change);

  uint64_t version() const { return version_; }

  /// The service at this address; 0 where there is none.
  service_id FindServiceAt(const endpoint& address) const;

  /// Where callers reach a service; null for an unknown service.
  const endpoint* FindAddress(service_id service) const;

  /// Present routes of a service; null for an unknown service.
  const service_routes* Find(service_id service) const;

  /// Routes before the last change; null for an unknown service.
  const service_routes* FindPrevious(service_id service) const;

  /// A target of any service; null for an unknown one.
  const route_target* FindTarget(target_id id) const;

 private:
  void Clear();
  void ApplyServices(const view_change& change);
  void ApplyTargets(const view_change& change);
  /// The targets of a service, copied for change.
  std::vector<route_target>* Touched(service_id service);
  void DropTarget(target_id id);
  void InstallTouched();

  uint64_t version_ = 0;
  absl::flat_hash_map<endpoint, service_id> by_address_;
  absl::flat_hash_map<service_id, endpoint> addresses_;
  absl::flat_hash_map<service_id, service_routes> routes_;
  /// Only of services whose routes the last change replaced.
  absl::flat_hash_map<service_id, service_routes> previous_;
  absl::flat_hash_map<target_id, service_id> service_of_;
  /// Filled while a change is applied.
  absl::flat_hash_map<service_id, std::vector<route_target>> touched_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_ROUTE_TABLE_H_
