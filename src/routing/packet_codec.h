#ifndef CARDAMOMROUTE_ROUTING_PACKET_CODEC_H_
#define CARDAMOMROUTE_ROUTING_PACKET_CODEC_H_

#include "base/result.h"
#include "inner/packet.pb.h"
#include "routing/packet_header.h"

namespace cardamomroute {

/// Fills `message`, which may be reused from packet to packet.
void EncodeHeader(const packet_header& header, inner::packet_header* message);

/// Fails with kMalformedMessage: unknown kinds, addresses of a wrong length,
/// ports above 65535.
result<packet_header> DecodeHeader(const inner::packet_header& message);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_PACKET_CODEC_H_
