#include "flows/flow_id.h"

#include <xxhash.h>

#include <algorithm>
#include <array>

#include "base/concat.h"

namespace cardamomroute {
namespace {

constexpr uint64_t kFlowSeed = 0x63617264616d6f70ULL;
constexpr uint64_t kServiceSeed = 0x7365727669636531ULL;
constexpr int kPortBits = 16;

// Words, so that the hash does not depend on how a struct is padded.
uint64_t WordOf(const ipv4_address& address) {
  return uint64_t{address.ip} << kPortBits | address.port;
}

ipv4_address AddressOf(uint64_t word) {
  return {static_cast<uint32_t>(word >> kPortBits),
          static_cast<uint16_t>(word)};
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

void AddFlow(const flow_id& flow, inner::flow_names* names) {
  names->add_callers(WordOf(flow.caller));
  names->add_hosts(WordOf(flow.host));
}

std::vector<flow_id> FlowsOf(const inner::flow_names& names) {
  std::vector<flow_id> flows;
  const int count = std::min(names.callers_size(), names.hosts_size());
  flows.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    flows.push_back({AddressOf(names.callers(i)), AddressOf(names.hosts(i))});
  }
  return flows;
}

uint64_t HashOfService(std::string_view name) {
  return XXH64(name.data(), name.size(), kServiceSeed);
}

}  // namespace cardamomroute
