#ifndef CARDAMOMROUTE_BASE_IPV4_ADDRESS_H_
#define CARDAMOMROUTE_BASE_IPV4_ADDRESS_H_

#include <cstdint>
#include <utility>

#include "base/endpoint.h"

namespace cardamomroute {

/// An IPv4 address and a port, in host byte order; a third of an endpoint.
struct ipv4_address {
  uint32_t ip = 0;
  uint16_t port = 0;

  friend bool operator==(const ipv4_address& a, const ipv4_address& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(const ipv4_address& a, const ipv4_address& b) {
    return !(a == b);
  }
  friend bool operator<(const ipv4_address& a, const ipv4_address& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const ipv4_address& value) {
    return Hash::combine(std::move(state), value.ip, value.port);
  }
};

/// The same as an endpoint.
endpoint ToEndpoint(const ipv4_address& value);

/// All zero where `value` is no IPv4 address.
ipv4_address ToIpv4(const endpoint& value);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_IPV4_ADDRESS_H_
