#ifndef CARDAMOMROUTE_FABRIC_PROXY_HEADER_H_
#define CARDAMOMROUTE_FABRIC_PROXY_HEADER_H_

#include <cstddef>
#include <cstdint>

#include "absl/types/span.h"
#include "base/endpoint.h"
#include "base/result.h"

namespace cardamomroute::fabric {

/// The addresses that a fabric passes along with a datagram: PROXY protocol
/// version 2, command PROXY, transport DGRAM.
struct proxy_header {
  /// Sender of the datagram as the far side of the fabric sees it.
  endpoint source;
  endpoint destination;
  /// Bytes that the header takes in front of the payload.
  size_t length = 0;
};

/// Longest header that WriteProxyHeader writes, in bytes.
inline constexpr size_t kLongestProxyHeader = 16 + 36;

/// Writes a header to `out`, which holds at least kLongestProxyHeader bytes,
/// and returns its length in bytes.
size_t WriteProxyHeader(const endpoint& source, const endpoint& destination,
                        uint8_t* out);

/// Reads the header in front of a datagram. Fails with kMalformedMessage on
/// anything but a version 2 PROXY command for UDP.
result<proxy_header> ReadProxyHeader(absl::Span<const uint8_t> datagram);

}  // namespace cardamomroute::fabric

#endif  // CARDAMOMROUTE_FABRIC_PROXY_HEADER_H_
