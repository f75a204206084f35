#include "routing/flow_key.h"

#include <xxhash.h>

#include <array>
#include <cstring>

namespace cardamomroute {
namespace {

constexpr uint64_t kFlowSeed = 0x63617264616d6f6dULL;

}  // namespace

uint64_t HashOf(const flow_key& key) {
  std::array<uint8_t, 22> bytes;
  std::memcpy(bytes.data(), key.caller.ip.data(), key.caller.ip.size());
  bytes[16] = static_cast<uint8_t>(key.caller.port >> 8);
  bytes[17] = static_cast<uint8_t>(key.caller.port);
  for (int i = 0; i < 4; ++i) {
    bytes[18 + i] = static_cast<uint8_t>(key.service >> (24 - 8 * i));
  }
  return XXH64(bytes.data(), bytes.size(), kFlowSeed);
}

}  // namespace cardamomroute
