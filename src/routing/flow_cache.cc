#include "routing/flow_cache.h"

#include <algorithm>
#include <utility>

namespace cardamomroute {

flow_cache::flow_cache(std::size_t capacity)
    : half_capacity_(std::max<std::size_t>(1, capacity / 2)) {}

target_id flow_cache::Find(const flow_key& flow) {
  const auto recent = recent_.find(flow);
  if (recent != recent_.end()) {
    return recent->second;
  }
  const auto older = older_.find(flow);
  if (older == older_.end()) {
    return 0;
  }
  const target_id holder = older->second;
  Insert(flow, holder);
  return holder;
}

void flow_cache::Insert(const flow_key& flow, target_id holder) {
  older_.erase(flow);
  const auto [place, is_new] = recent_.insert_or_assign(flow, holder);
  (void)place;
  if (is_new) {
    MakeRoom();
  }
}

void flow_cache::Erase(const flow_key& flow) {
  recent_.erase(flow);
  older_.erase(flow);
}

void flow_cache::MakeRoom() {
  if (recent_.size() >= half_capacity_) {
    older_ = std::move(recent_);
    recent_ = {};
  }
}

}  // namespace cardamomroute
