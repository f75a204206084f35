#ifndef CARDAMOMROUTE_BASE_ENDPOINT_H_
#define CARDAMOMROUTE_BASE_ENDPOINT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace cardamomroute {

/// An IP address and a port. IPv4 addresses are held as IPv4-mapped IPv6
/// addresses (RFC 4291, section 2.5.5.2).
struct endpoint {
  std::array<uint8_t, 16> ip{};
  uint16_t port = 0;

  friend bool operator==(const endpoint& a, const endpoint& b) {
    return a.ip == b.ip && a.port == b.port;
  }
  friend bool operator!=(const endpoint& a, const endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const endpoint& a, const endpoint& b) {
    return a.ip != b.ip ? a.ip < b.ip : a.port < b.port;
  }
  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const endpoint& value) {
    return Hash::combine(std::move(state), value.ip, value.port);
  }
};

/// True for an IPv4-mapped address.
bool IsIpv4(const endpoint& value);

/// Reads "192.0.2.1:5683" or "[2001:db8::1]:5683". Names are not resolved.
/// Fails with kValueOutOfRange.
result<endpoint> ParseEndpoint(std::string_view text);

/// The form that ParseEndpoint reads.
std::string ToString(const endpoint& value);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_ENDPOINT_H_
