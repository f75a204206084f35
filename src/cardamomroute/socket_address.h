#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include "base/endpoint.h"

namespace cardamomroute {

/// All sockets are IPv6 sockets that also carry IPv4 (IPv4-mapped).
sockaddr_in6 ToSocketAddress(const endpoint& value);
endpoint FromSocketAddress(const sockaddr_in6& address);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SOCKET_ADDRESS_H_
