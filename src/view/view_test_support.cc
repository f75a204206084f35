#include "view/view_test_support.h"

#include <random>
#include <string>

namespace cardamomroute {
namespace {

endpoint AddressOf(uint64_t number) {
  endpoint address;
  address.ip[10] = 0xff;
  address.ip[11] = 0xff;
  address.ip[12] = 10;
  address.port = static_cast<uint16_t>(1 + number);
  return address;
}

service MakeService(service_id id, uint64_t variant) {
  service item;
  item.id = id;
  item.name = "s" + std::to_string(id);
  item.address = AddressOf(id);
  item.protocol = static_cast<service_protocol>(variant % 2);
  item.calls.resize(variant % 3);
  for (call_kind& call : item.calls) {
    call.path = "/" + std::to_string(variant);
    call.timeout_ms = static_cast<uint32_t>(variant);
  }
  return item;
}

}  // namespace

view RandomView(uint64_t seed, uint64_t version) {
  constexpr uint64_t kMaxServices = 5;
  constexpr uint64_t kMaxTargets = 24;
  std::mt19937_64 random(seed);
  view result;
  result.version = version;
  for (service_id id = 1; id <= kMaxServices; ++id) {
    if (random() % 4 != 0) {
      result.services.push_back(MakeService(id, random() % 4));
    }
  }
  for (target_id id = 1; id <= kMaxTargets; ++id) {
    if (random() % 3 == 0) {
      continue;
    }
    target item;
    item.id = id;
    item.service = static_cast<service_id>(1 + id % kMaxServices);
    item.zone = "z" + std::to_string(id % 3);
    item.agent = AddressOf(100 + id);
    item.state = static_cast<target_state>(random() % 4 == 0 ? 1 : 0);
    item.slots = static_cast<uint32_t>(1 + random() % 3);
    result.targets.push_back(item);
  }
  for (uint64_t id = 1; id <= 4; ++id) {
    if (random() % 2 == 0) {
      result.balancers.push_back({id, "z0", AddressOf(200 + random() % 3)});
    }
  }
  return result;
}

}  // namespace cardamomroute
