#ifndef CARDAMOMROUTE_INNER_PACKET_CODEC_H_
#define CARDAMOMROUTE_INNER_PACKET_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/types/span.h"
#include "base/endpoint.h"
#include "base/result.h"
#include "inner/packet.pb.h"

namespace cardamomroute::inner {

/// Largest datagram between our own processes, in bytes.
inline constexpr size_t kLargestDatagram = 65507;

/// Stores `value` in a header's pair of fields.
void SetCaller(const endpoint& value, packet_header* header);
void SetBalancer(const endpoint& value, packet_header* header);

/// Reads them back; all zero where the field is absent.
endpoint CallerOf(const packet_header& header);
endpoint BalancerOf(const packet_header& header);

/// Replaces `out` by the datagram: a version byte, the length of the header
/// in two bytes, the header, the payload.
void EncodePacket(const packet_header& header,
                  absl::Span<const uint8_t> payload, std::vector<uint8_t>* out);

/// Reads the header into `header` and returns the payload, a part of
/// `datagram`. Fails with kMalformedMessage.
result<absl::Span<const uint8_t>> DecodePacket(
    absl::Span<const uint8_t> datagram, packet_header* header);

}  // namespace cardamomroute::inner

#endif  // CARDAMOMROUTE_INNER_PACKET_CODEC_H_
