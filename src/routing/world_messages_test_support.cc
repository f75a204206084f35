#include "routing/world_messages_test_support.h"

#include <cstring>

namespace cardamomroute {
namespace {

endpoint MakeAddress(uint8_t network, uint16_t number) {
  endpoint address;
  address.ip = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, network, 0, 1};
  address.port = number;
  return address;
}

}  // namespace

endpoint ServiceAddress(service_id service) {
  return MakeAddress(1, static_cast<uint16_t>(service));
}

endpoint BalancerAddress(int index) {
  return MakeAddress(2, static_cast<uint16_t>(index + 1));
}

endpoint AgentAddress(uint16_t number) { return MakeAddress(3, number); }

endpoint CallerAddress(uint16_t number) { return MakeAddress(4, number); }

std::string ToPayload(const std::vector<uint64_t>& numbers) {
  std::string payload(numbers.size() * sizeof(uint64_t), '\0');
  std::memcpy(payload.data(), numbers.data(), payload.size());
  return payload;
}

std::vector<uint64_t> FromPayload(const std::string& payload) {
  std::vector<uint64_t> numbers(payload.size() / sizeof(uint64_t));
  std::memcpy(numbers.data(), payload.data(), payload.size());
  return numbers;
}

std::string MakeFiller(const std::vector<uint64_t>& numbers,
                       std::size_t bytes) {
  std::string filler(bytes, '\0');
  uint64_t state = numbers.empty() ? 0 : numbers.front();
  for (char& byte : filler) {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    byte = static_cast<char>(state >> 56);
  }
  return filler;
}

}  // namespace cardamomroute
