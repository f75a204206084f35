#ifndef CARDAMOMROUTE_FLOWS_SEARCH_BUDGET_H_
#define CARDAMOMROUTE_FLOWS_SEARCH_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "absl/time/time.h"
#include "flows/byte_budget.h"

namespace cardamomroute {

/// Bounds what searches send and what comes back, each on its own direction of
/// the link, so that packets whose way is known have room.
class search_budget {
 public:
  /// `bytes_a_second` in each direction.
  explicit search_budget(double bytes_a_second)
      : sent_(bytes_a_second, bytes_a_second * kBurstSeconds),
        received_(bytes_a_second, bytes_a_second * kBurstSeconds) {}

  bool Allows(absl::Time now) {
    const bool is_send_allowed = sent_.Allows(now);
    return received_.Allows(now) && is_send_allowed;
  }
  void SpendSent(size_t bytes) { sent_.Spend(bytes); }
  void SpendReceived(size_t bytes) { received_.Spend(bytes); }

  /// When searches may go on, where they may not now.
  absl::Time AllowsFrom() const {
    return std::max(sent_.AllowsFrom(), received_.AllowsFrom());
  }

 private:
  // What may be sent at once, as after a restart.
  static constexpr double kBurstSeconds = 0.5;

  byte_budget sent_;
  byte_budget received_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_SEARCH_BUDGET_H_
