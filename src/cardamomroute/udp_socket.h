#ifndef CARDAMOMROUTE_CARDAMOMROUTE_UDP_SOCKET_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_UDP_SOCKET_H_

#include <netinet/in.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "base/endpoint.h"
#include "base/result.h"

namespace cardamomroute {

class datagram_batch;

/// A non-blocking UDP socket.
class udp_socket {
 public:
  udp_socket() = default;
  udp_socket(udp_socket&& other) noexcept;
  udp_socket& operator=(udp_socket&& other) noexcept;
  ~udp_socket();

  /// Bound to `local`; port 0 takes any free port. With `shared_port` several
  /// sockets may be bound there and the kernel spreads datagrams over them.
  /// Fails with kIoFailed.
  static result<udp_socket> Bind(const endpoint& local,
                                 bool shared_port = false);

  /// Sends to and hears from `remote` only, from a fresh local port. Fails
  /// with kIoFailed.
  static result<udp_socket> Connect(const endpoint& remote);

  int fd() const { return fd_; }

  /// The address that the socket is bound to.
  endpoint Local() const;

  /// Replaces the content of `batch` by what has arrived, at most its
  /// capacity. Returns the number of datagrams, 0 when there is none.
  size_t Receive(datagram_batch* batch);

  /// Sends what is in `batch` and empties it. Datagrams that the kernel does
  /// not take are lost, as any datagram may be; returns how many went out.
  size_t Send(datagram_batch* batch);

  /// Sends one datagram to `remote`; false when it was not taken.
  bool SendTo(const endpoint& remote, absl::Span<const uint8_t> bytes);

  /// Sends one datagram on a connected socket; false when it was not taken.
  bool Send(absl::Span<const uint8_t> bytes);

  /// True once after the far side refused datagrams (ICMP port unreachable).
  bool TakeRefused();

 private:
  explicit udp_socket(sa_family_t family);

  int fd_ = -1;
  /// AF_INET where it is bound or connected to an IPv4 address.
  sa_family_t family_ = AF_INET6;
  bool refused_ = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_UDP_SOCKET_H_
