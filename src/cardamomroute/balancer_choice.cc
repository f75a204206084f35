#include "cardamomroute/balancer_choice.h"

namespace cardamomroute {

void balancer_choice::OnView(const view& current) {
  present_.clear();
  in_order_.clear();
  for (const balancer& item : current.balancers) {
    present_.insert(item.inner);
    in_order_.push_back(item.inner);
  }
}

void balancer_choice::OnPacket(const flow_key& flow, const endpoint& balancer) {
  last_heard_[flow] = balancer;
}

const endpoint* balancer_choice::Choose(const flow_key& flow) const {
  const auto heard = last_heard_.find(flow);
  if (heard != last_heard_.end() &&
      (present_.count(heard->second) != 0 || in_order_.empty())) {
    return &heard->second;
  }
  if (in_order_.empty()) {
    return nullptr;
  }
  return &in_order_[HashOf(flow) % in_order_.size()];
}

}  // namespace cardamomroute
