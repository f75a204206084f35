#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "base/endpoint.h"
#include "base/result.h"

namespace cardamomroute {

/// As an IPv6 socket has it; IPv4 addresses are IPv4-mapped.
sockaddr_in6 ToSocketAddress(const endpoint& value);
endpoint FromSocketAddress(const sockaddr_in6& address);

/// As an IPv4 socket has it. `value` is an IPv4 address.
sockaddr_in ToIpv4SocketAddress(const endpoint& value);
endpoint FromSocketAddress(const sockaddr_in& address);

/// AF_INET for IPv4 addresses, else AF_INET6.
sa_family_t FamilyOf(const endpoint& value);

/// What the call that has just failed left in errno; kIoFailed.
error SocketError(const char* call, const endpoint& where);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_
