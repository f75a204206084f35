#include "fabric/proxy_header.h"

#include <algorithm>
#include <array>

namespace cardamomroute::fabric {
namespace {

// Layout after "The PROXY protocol", section 2.2.
constexpr std::array<uint8_t, 12> kSignature = {
    0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr uint8_t kVersion2Proxy = 0x21;
constexpr uint8_t kUdpOverIpv4 = 0x12;
constexpr uint8_t kUdpOverIpv6 = 0x22;
constexpr size_t kFixedBytes = 16;
constexpr size_t kIpv4Bytes = 4;
constexpr size_t kIpv6Bytes = 16;
constexpr size_t kPortBytes = 2;

uint16_t ReadUint16(const uint8_t* from) {
  return static_cast<uint16_t>((from[0] << 8) | from[1]);
}

void WriteUint16(uint16_t value, uint8_t* out) {
  out[0] = static_cast<uint8_t>(value >> 8);
  out[1] = static_cast<uint8_t>(value & 0xff);
}

endpoint ReadAddress(const uint8_t* ip, size_t ip_bytes, const uint8_t* port) {
  endpoint value;
  if (ip_bytes == kIpv4Bytes) {
    value.ip[10] = 0xff;
    value.ip[11] = 0xff;
  }
  std::copy(ip, ip + ip_bytes, value.ip.end() - ip_bytes);
  value.port = ReadUint16(port);
  return value;
}

}  // namespace

size_t WriteProxyHeader(const endpoint& source, const endpoint& destination,
                        uint8_t* out) {
  const bool ipv4 = IsIpv4(source) && IsIpv4(destination);
  const size_t ip_bytes = ipv4 ? kIpv4Bytes : kIpv6Bytes;
  const size_t address_bytes = 2 * (ip_bytes + kPortBytes);
  uint8_t* next = std::copy(kSignature.begin(), kSignature.end(), out);
  *next++ = kVersion2Proxy;
  *next++ = ipv4 ? kUdpOverIpv4 : kUdpOverIpv6;
  WriteUint16(static_cast<uint16_t>(address_bytes), next);
  next += kPortBytes;
  next = std::copy(source.ip.end() - ip_bytes, source.ip.end(), next);
  next = std::copy(destination.ip.end() - ip_bytes, destination.ip.end(), next);
  WriteUint16(source.port, next);
  WriteUint16(destination.port, next + kPortBytes);
  return kFixedBytes + address_bytes;
}

result<proxy_header> ReadProxyHeader(absl::Span<const uint8_t> datagram) {
  const error malformed{error_kind::kMalformedMessage, "", "PROXY header"};
  if (datagram.size() < kFixedBytes ||
      !std::equal(kSignature.begin(), kSignature.end(), datagram.begin()) ||
      datagram[12] != kVersion2Proxy) {
    return malformed;
  }
  const uint8_t family = datagram[13];
  if (family != kUdpOverIpv4 && family != kUdpOverIpv6) {
    return malformed;
  }
  const size_t ip_bytes = family == kUdpOverIpv4 ? kIpv4Bytes : kIpv6Bytes;
  const size_t address_bytes = ReadUint16(&datagram[14]);
  // Type-length-value fields may follow the addresses; they are passed over.
  if (address_bytes < 2 * (ip_bytes + kPortBytes) ||
      datagram.size() < kFixedBytes + address_bytes) {
    return malformed;
  }
  const uint8_t* addresses = datagram.data() + kFixedBytes;
  const uint8_t* ports = addresses + 2 * ip_bytes;
  proxy_header header;
  header.source = ReadAddress(addresses, ip_bytes, ports);
  header.destination =
      ReadAddress(addresses + ip_bytes, ip_bytes, ports + kPortBytes);
  header.length = kFixedBytes + address_bytes;
  return header;
}

}  // namespace cardamomroute::fabric
