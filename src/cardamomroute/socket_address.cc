#include "cardamomroute/socket_address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <string>

#include "base/ipv4_address.h"

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

sockaddr_in ToIpv4SocketAddress(const endpoint& value) {
  const ipv4_address narrow = ToIpv4(value);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(narrow.port);
  address.sin_addr.s_addr = htonl(narrow.ip);
  return address;
}

endpoint FromSocketAddress(const sockaddr_in& address) {
  return ToEndpoint({ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)});
}

sa_family_t FamilyOf(const endpoint& value) {
  return IsIpv4(value) ? AF_INET : AF_INET6;
}

error SocketError(const char* call, const endpoint& where) {
  return {error_kind::kIoFailed, ToString(where),
          std::string(call) + ": " + std::strerror(errno)};
}

}  // namespace cardamomroute
