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
constexpr int kByteBits = 8;

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

void AddListed(const flow_id& flow, std::string* listed) {
  const listed_hash hash = ListedHashOf(flow);
  listed->push_back(static_cast<char>(hash));
  listed->push_back(static_cast<char>(hash >> kByteBits));
}

std::vector<listed_hash> HashesOf(std::string_view listed) {
  std::vector<listed_hash> hashes;
  hashes.reserve(listed.size() / sizeof(listed_hash));
  for (size_t i = 0; i + 1 < listed.size(); i += sizeof(listed_hash)) {
    const auto low = static_cast<uint8_t>(listed[i]);
    const auto high = static_cast<uint8_t>(listed[i + 1]);
    hashes.push_back(static_cast<listed_hash>(low | high << kByteBits));
  }
  return hashes;
}

uint64_t HashOfService(std::string_view name) {
  return XXH64(name.data(), name.size(), kServiceSeed);
}

}  // namespace cardamomroute
