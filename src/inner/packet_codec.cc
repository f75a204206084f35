#include "inner/packet_codec.h"

#include <algorithm>
#include <string>

namespace cardamomroute::inner {
namespace {

constexpr uint8_t kFrameVersion = 1;
constexpr size_t kFrameBytes = 3;
constexpr uint32_t kLargestPort = 0xffff;

void StoreIp(const endpoint& value, std::string* field) {
  field->assign(reinterpret_cast<const char*>(value.ip.data()),
                value.ip.size());
}

endpoint LoadEndpoint(const std::string& ip, uint32_t port) {
  endpoint value;
  if (ip.size() == value.ip.size()) {
    std::copy(ip.begin(), ip.end(), value.ip.begin());
    value.port = static_cast<uint16_t>(port);
  }
  return value;
}

bool IsEndpoint(const std::string& ip, uint32_t port) {
  const bool absent = ip.empty() && port == 0;
  return absent || (ip.size() == endpoint().ip.size() && port <= kLargestPort);
}

}  // namespace

void SetCaller(const endpoint& value, packet_header* header) {
  StoreIp(value, header->mutable_caller_ip());
  header->set_caller_port(value.port);
}

void SetBalancer(const endpoint& value, packet_header* header) {
  StoreIp(value, header->mutable_balancer_ip());
  header->set_balancer_port(value.port);
}

endpoint CallerOf(const packet_header& header) {
  return LoadEndpoint(header.caller_ip(), header.caller_port());
}

endpoint BalancerOf(const packet_header& header) {
  return LoadEndpoint(header.balancer_ip(), header.balancer_port());
}

void EncodePacket(const packet_header& header,
                  absl::Span<const uint8_t> payload,
                  std::vector<uint8_t>* out) {
  const size_t header_bytes = header.ByteSizeLong();
  out->resize(kFrameBytes + header_bytes + payload.size());
  uint8_t* next = out->data();
  *next++ = kFrameVersion;
  *next++ = static_cast<uint8_t>(header_bytes >> 8);
  *next++ = static_cast<uint8_t>(header_bytes & 0xff);
  next = header.SerializeWithCachedSizesToArray(next);
  std::copy(payload.begin(), payload.end(), next);
}

result<absl::Span<const uint8_t>> DecodePacket(
    absl::Span<const uint8_t> datagram, packet_header* header) {
  const error malformed{error_kind::kMalformedMessage, "", "packet"};
  if (datagram.size() < kFrameBytes || datagram[0] != kFrameVersion) {
    return malformed;
  }
  const size_t header_bytes =
      (static_cast<size_t>(datagram[1]) << 8) | datagram[2];
  if (datagram.size() < kFrameBytes + header_bytes ||
      !header->ParseFromArray(datagram.data() + kFrameBytes,
                              static_cast<int>(header_bytes))) {
    return malformed;
  }
  if (!IsEndpoint(header->caller_ip(), header->caller_port()) ||
      !IsEndpoint(header->balancer_ip(), header->balancer_port())) {
    return malformed;
  }
  return datagram.subspan(kFrameBytes + header_bytes);
}

}  // namespace cardamomroute::inner
