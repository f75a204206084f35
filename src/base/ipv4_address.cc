#include "base/ipv4_address.h"

namespace cardamomroute {
namespace {

// Where an IPv4-mapped address (RFC 4291, section 2.5.5.2) holds its mark and
// its four bytes.
constexpr size_t kMarkOffset = 10;
constexpr size_t kBytesOffset = 12;
constexpr size_t kBytes = 4;

}  // namespace

endpoint ToEndpoint(const ipv4_address& value) {
  endpoint wide;
  wide.ip[kMarkOffset] = 0xff;
  wide.ip[kMarkOffset + 1] = 0xff;
  for (size_t i = 0; i < kBytes; ++i) {
    wide.ip[kBytesOffset + i] = static_cast<uint8_t>(value.ip >> (24 - 8 * i));
  }
  wide.port = value.port;
  return wide;
}

ipv4_address ToIpv4(const endpoint& value) {
  ipv4_address narrow;
  if (!IsIpv4(value)) {
    return narrow;
  }
  for (size_t i = 0; i < kBytes; ++i) {
    narrow.ip = narrow.ip << 8 | value.ip[kBytesOffset + i];
  }
  narrow.port = value.port;
  return narrow;
}

}  // namespace cardamomroute
