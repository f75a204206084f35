#include "cardamomroute/socket_address.h"

#include <arpa/inet.h>

#include <algorithm>

namespace cardamomroute {

sockaddr_in6 ToSocketAddress(const endpoint& value) {
  sockaddr_in6 address{};
  address.sin6_family = AF_INET6;
  address.sin6_port = htons(value.port);
  std::copy(value.ip.begin(), value.ip.end(), address.sin6_addr.s6_addr);
  return address;
}

endpoint FromSocketAddress(const sockaddr_in6& address) {
  endpoint value;
  std::copy(std::begin(address.sin6_addr.s6_addr),
            std::end(address.sin6_addr.s6_addr), value.ip.begin());
  value.port = ntohs(address.sin6_port);
  return value;
}

}  // namespace cardamomroute
