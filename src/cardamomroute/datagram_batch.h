#ifndef CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "base/endpoint.h"
#include "inner/packet_codec.h"

namespace cardamomroute {

/// Buffers for several datagrams that pass the kernel in one call
/// (recvmmsg, sendmmsg).
class datagram_batch {
 public:
  /// Room for `capacity` datagrams of `datagram_bytes` that come in; longer
  /// ones are cut.
  explicit datagram_batch(size_t capacity,
                          size_t datagram_bytes = inner::kLargestDatagram);
  datagram_batch(const datagram_batch&) = delete;
  datagram_batch& operator=(const datagram_batch&) = delete;

  size_t size() const { return used_; }
  bool full() const { return used_ == messages_.size(); }

  /// The content of datagram `index`.
  absl::Span<const uint8_t> Bytes(size_t index) const;

  /// Who sent datagram `index`, or where it goes.
  endpoint Remote(size_t index) const;

  /// Adds a datagram and returns the buffer to fill; the buffer keeps its
  /// memory from one use to the next. Must not be called when full.
  std::vector<uint8_t>* Add(const endpoint& remote);

  /// Forgets all datagrams.
  void Clear() { used_ = 0; }

 private:
  friend class udp_socket;

  /// Points the kernel's structures at the buffers, for a socket of `family`.
  void PrepareReceive(sa_family_t family);
  void FinishReceive(sa_family_t family, size_t received);
  void PrepareSend(sa_family_t family);
  void PointAt(sa_family_t family, size_t index);

  const size_t datagram_bytes_;
  size_t used_ = 0;
  std::vector<std::vector<uint8_t>> buffers_;
  std::vector<size_t> lengths_;
  std::vector<sockaddr_in6> addresses_;
  /// The same for an IPv4 socket, while the kernel has them.
  std::vector<sockaddr_in> ipv4_addresses_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_
