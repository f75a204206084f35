#include "base/endpoint.h"

#include <arpa/inet.h>

#include <algorithm>
#include <cstddef>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace cardamomroute {
namespace {

constexpr size_t kIpv4Offset = 12;
constexpr uint32_t kLargestPort = 65535;

error BadEndpoint(std::string_view text) {
  return {error_kind::kValueOutOfRange, std::string(text),
          "expected IP:PORT with a numeric IP address"};
}

bool ParseIp(const std::string& text, std::array<uint8_t, 16>* ip) {
  in_addr ipv4{};
  if (inet_pton(AF_INET, text.c_str(), &ipv4) == 1) {
    ip->fill(0);
    (*ip)[10] = 0xff;
    (*ip)[11] = 0xff;
    const auto* bytes = reinterpret_cast<const uint8_t*>(&ipv4.s_addr);
    std::copy(bytes, bytes + sizeof(ipv4.s_addr), ip->begin() + kIpv4Offset);
    return true;
  }
  return inet_pton(AF_INET6, text.c_str(), ip->data()) == 1;
}

}  // namespace

bool IsIpv4(const endpoint& value) {
  return std::all_of(value.ip.begin(), value.ip.begin() + 10,
                     [](uint8_t byte) { return byte == 0; }) &&
         value.ip[10] == 0xff && value.ip[11] == 0xff;
}

result<endpoint> ParseEndpoint(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return BadEndpoint(text);
  }
  std::string_view host = text.substr(0, colon);
  if (host.front() == '[') {
    if (host.back() != ']') {
      return BadEndpoint(text);
    }
    host = host.substr(1, host.size() - 2);
  } else if (host.find(':') != std::string_view::npos) {
    return BadEndpoint(text);
  }
  uint32_t port = 0;
  endpoint value;
  if (!absl::SimpleAtoi(std::string(text.substr(colon + 1)), &port) ||
      port > kLargestPort || !ParseIp(std::string(host), &value.ip)) {
    return BadEndpoint(text);
  }
  value.port = static_cast<uint16_t>(port);
  return value;
}

std::string ToString(const endpoint& value) {
  char host[INET6_ADDRSTRLEN];
  if (IsIpv4(value)) {
    inet_ntop(AF_INET, value.ip.data() + kIpv4Offset, host, sizeof(host));
    return absl::StrCat(host, ":", value.port);
  }
  inet_ntop(AF_INET6, value.ip.data(), host, sizeof(host));
  return absl::StrCat("[", host, "]:", value.port);
}

}  // namespace cardamomroute
