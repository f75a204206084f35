#include "flows/flow_id.h"

#include <xxhash.h>

#include <array>

#include "base/concat.h"

namespace cardamomroute {
namespace {

constexpr uint64_t kFlowSeed = 0x63617264616d6f70ULL;
constexpr uint64_t kServiceSeed = 0x7365727669636531ULL;

// Words, so that the hash does not depend on how a struct is padded.
uint64_t WordOf(const ipv4_address& address) {
  return uint64_t{address.ip} << 16 | address.port;
}

}  // namespace

std::string ToString(const flow_id& flow) {
  return Concat(ToString(ToEndpoint(flow.caller)), ">",
                ToString(ToEndpoint(flow.host)));
}

uint64_t HashOf(const flow_id& flow) {
  const std::array<uint64_t, 2> words = {WordOf(flow.caller),
                                         WordOf(flow.host)};
  return XXH64(words.data(), sizeof(words), kFlowSeed);
}

uint64_t RendezvousWeight(uint64_t flow_hash, const ipv4_address& agent) {
  const uint64_t word = WordOf(agent);
  return XXH64(&word, sizeof(word), flow_hash);
}

uint64_t HashOfService(std::string_view name) {
  return XXH64(name.data(), name.size(), kServiceSeed);
}

}  // namespace cardamomroute
