#ifndef CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "base/endpoint.h"

namespace cardamomroute {

/// Buffers for several datagrams that pass the kernel in one call
/// (recvmmsg, sendmmsg).
class datagram_batch {
 public:
  /// Room for `capacity` datagrams.
  explicit datagram_batch(size_t capacity);
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

  /// Points the kernel's structures at the buffers.
  void PrepareReceive();
  void FinishReceive(size_t received);
  void PrepareSend();

  size_t used_ = 0;
  std::vector<std::vector<uint8_t>> buffers_;
  std::vector<size_t> lengths_;
  std::vector<sockaddr_in6> addresses_;
  std::vector<iovec> vectors_;
  std::vector<mmsghdr> messages_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_BATCH_H_
