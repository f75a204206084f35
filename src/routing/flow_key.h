#ifndef CARDAMOMROUTE_ROUTING_FLOW_KEY_H_
#define CARDAMOMROUTE_ROUTING_FLOW_KEY_H_

#include <cstdint>
#include <utility>

#include "base/endpoint.h"
#include "view/view.h"

namespace cardamomroute {

/// Names a flow: one caller's socket towards one service.
struct flow_key {
  endpoint caller;
  service_id service = 0;

  friend bool operator==(const flow_key& a, const flow_key& b) {
    return a.service == b.service && a.caller == b.caller;
  }
  friend bool operator!=(const flow_key& a, const flow_key& b) {
    return !(a == b);
  }
  friend bool operator<(const flow_key& a, const flow_key& b) {
    return a.service != b.service ? a.service < b.service : a.caller < b.caller;
  }
  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const flow_key& value) {
    return Hash::combine(std::move(state), value.caller, value.service);
  }
};

/// XXH64 of the key with a fixed seed: the same on every node and in every
/// release, since homes are computed from it.
uint64_t HashOf(const flow_key& key);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_KEY_H_
