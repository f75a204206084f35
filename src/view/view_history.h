#ifndef CARDAMOMROUTE_VIEW_VIEW_HISTORY_H_
#define CARDAMOMROUTE_VIEW_VIEW_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "inner/view.pb.h"
#include "view/view.h"
#include "view/view_change.h"

namespace cardamomroute {

class service_filter;

/// Which items of the view the latest changes touched, as far as a bounded
/// number of ids reaches. A relay makes from it what its children lack.
class view_history {
 public:
  explicit view_history(std::size_t max_items) : max_items_(max_items) {}

  /// `change` was applied after those before, its lost zones not expanded; a
  /// whole view starts anew.
  void Remember(const view_change& change);

  /// What leads a node from version `have` to `present`, which has all changes
  /// that were remembered; the whole view where these do not reach back. With
  /// the name of a service, what leads from one filtered view to the other: it
  /// is marked with the service and has its balancers in groups, and ids of
  /// removed items stay, whatever their service was.
  inner::view_delta DeltaFrom(uint64_t have, const view& present,
                              const std::string& service_name = "") const;

 private:
  struct step {
    uint64_t to_version = 0;
    std::vector<service_id> services;
    std::vector<target_id> targets;
    std::vector<uint64_t> balancers;
    std::vector<lost_zone> lost_zones;

    std::size_t Size() const {
      return services.size() + targets.size() + balancers.size() +
             lost_zones.size() + 1;
    }
  };

  bool ReachesBackTo(uint64_t have, const view& present) const;
  /// With a filter only what passes it.
  inner::view_delta TouchedSince(uint64_t have, const view& present,
                                 const service_filter* filter) const;

  std::size_t max_items_;
  std::size_t items_ = 0;
  /// The oldest version from which the steps lead to the present one.
  uint64_t start_version_ = 0;
  std::deque<step> steps_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_HISTORY_H_
