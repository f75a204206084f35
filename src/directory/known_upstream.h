#ifndef CARDAMOMROUTE_DIRECTORY_KNOWN_UPSTREAM_H_
#define CARDAMOMROUTE_DIRECTORY_KNOWN_UPSTREAM_H_

#include <cstdint>
#include <string>

#include "base/ipv4_address.h"
#include "directory/upstream_state.h"

namespace cardamomroute {

/// An upstream as the members of the control group have heard of it.
struct known_upstream {
  /// Of the agent beside it.
  ipv4_address agent;
  std::string service;
  std::string zone;
  upstream_state state = upstream_state::kAbsent;
  uint32_t slots = 1;
  /// No member has heard its agent lately.
  bool silent = false;

  friend bool operator==(const known_upstream& a, const known_upstream& b) {
    return a.agent == b.agent && a.service == b.service && a.zone == b.zone &&
           a.state == b.state && a.slots == b.slots && a.silent == b.silent;
  }
  friend bool operator!=(const known_upstream& a, const known_upstream& b) {
    return !(a == b);
  }
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_DIRECTORY_KNOWN_UPSTREAM_H_
