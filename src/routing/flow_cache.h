#ifndef CARDAMOMROUTE_ROUTING_FLOW_CACHE_H_
#define CARDAMOMROUTE_ROUTING_FLOW_CACHE_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute {

/// Which target was last seen to hold a flow, for a bounded number of flows.
/// Two maps take turns: when the recent one is full the other is dropped, so
/// that an entry survives as long as at most `capacity` / 2 other flows were
/// used after it, at constant cost.
class flow_cache {
 public:
  /// Holds at most `capacity` flows.
  explicit flow_cache(std::size_t capacity);

  /// The holder, or 0. Counts as a use of the entry.
  target_id Find(const flow_key& flow);
  void Insert(const flow_key& flow, target_id holder);
  void Erase(const flow_key& flow);
  std::size_t size() const { return recent_.size() + older_.size(); }

 private:
  void MakeRoom();

  std::size_t half_capacity_;
  absl::flat_hash_map<flow_key, target_id> recent_;
  absl::flat_hash_map<flow_key, target_id> older_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_CACHE_H_
