#include "load/synthetic_view.h"

#include <string>

#include "view/view_codec.h"

namespace cardamomroute::load {
namespace {

constexpr uint16_t kPort = 5683;
constexpr uint32_t kFirstAgentAddress = 1000000;

}  // namespace

endpoint NumberedAddress(uint32_t number) {
  endpoint address;
  address.ip[12] = static_cast<uint8_t>(number >> 24);
  address.ip[13] = static_cast<uint8_t>(number >> 16);
  address.ip[14] = static_cast<uint8_t>(number >> 8);
  address.ip[15] = static_cast<uint8_t>(number);
  address.port = kPort;
  return address;
}

view MakeSyntheticView(uint32_t services, uint32_t targets) {
  view result;
  result.version = 1;
  for (service_id id = 1; id <= services; ++id) {
    service item;
    item.id = id;
    item.name = "service-" + std::to_string(id);
    item.address = NumberedAddress(id);
    result.services.push_back(item);
  }
  for (target_id id = 1; id <= targets; ++id) {
    target item;
    item.id = id;
    item.service = static_cast<service_id>(1 + id % services);
    item.zone = std::string(kSyntheticZones[id % kSyntheticZones.size()]);
    item.agent =
        NumberedAddress(static_cast<uint32_t>(kFirstAgentAddress + id));
    result.targets.push_back(item);
  }
  StampChanges(view{}, &result);
  return result;
}

}  // namespace cardamomroute::load
