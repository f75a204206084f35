#include "view/balancer_groups.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/container/btree_map.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kIpv4Bytes = 4;
constexpr std::size_t kAddressBytes = kIpv4Bytes + 2;
/// Where the IPv4 address lies in an IPv4-mapped one.
constexpr std::size_t kIpv4Offset = 12;
constexpr std::size_t kMappedPrefix = 10;

struct open_group {
  inner::balancer_group* group = nullptr;
  uint64_t last_id = 0;
};

void AppendAddress(const endpoint& address, std::string* bytes) {
  bytes->append(address.ip.begin() + kIpv4Offset, address.ip.end());
  bytes->push_back(static_cast<char>(address.port >> 8));
  bytes->push_back(static_cast<char>(address.port));
}

endpoint ReadAddress(const char* bytes) {
  endpoint address;
  address.ip[kMappedPrefix] = 0xff;
  address.ip[kMappedPrefix + 1] = 0xff;
  std::copy_n(bytes, kIpv4Bytes, address.ip.begin() + kIpv4Offset);
  address.port =
      static_cast<uint16_t>(static_cast<uint8_t>(bytes[kIpv4Bytes]) << 8 |
                            static_cast<uint8_t>(bytes[kIpv4Bytes + 1]));
  return address;
}

error Malformed() {
  return error{error_kind::kMalformedMessage, "delta balancer groups", ""};
}

result<void> ReadGroup(const inner::balancer_group& group,
                       std::vector<balancer>* balancers) {
  const auto count = static_cast<std::size_t>(group.id_steps_size());
  if (group.addresses().size() != count * kAddressBytes) {
    return Malformed();
  }
  uint64_t id = 0;
  for (std::size_t i = 0; i < count; ++i) {
    id += group.id_steps(static_cast<int>(i));
    balancers->push_back(
        {id, group.zone(),
         ReadAddress(group.addresses().data() + i * kAddressBytes)});
  }
  return boost::outcome_v2::success();
}

}  // namespace

void GroupBalancers(inner::view_delta* delta) {
  absl::btree_map<std::string, open_group> groups;
  inner::view_delta ungrouped;
  for (inner::balancer_record& item : *delta->mutable_balancers()) {
    const auto address = ParseEndpoint(item.inner());
    if (!address || !IsIpv4(address.value())) {
      ungrouped.add_balancers()->Swap(&item);
      continue;
    }
    open_group& open = groups[item.zone()];
    if (open.group == nullptr) {
      open.group = delta->add_balancer_groups();
      open.group->set_zone(item.zone());
    }
    open.group->add_id_steps(item.id() - open.last_id);
    open.last_id = item.id();
    AppendAddress(address.value(), open.group->mutable_addresses());
  }
  delta->mutable_balancers()->Swap(ungrouped.mutable_balancers());
}

result<void> AddGroupedBalancers(const inner::view_delta& delta,
                                 std::vector<balancer>* balancers) {
  if (delta.balancer_groups_size() == 0) {
    return boost::outcome_v2::success();
  }
  for (const inner::balancer_group& group : delta.balancer_groups()) {
    BOOST_OUTCOME_TRYV(ReadGroup(group, balancers));
  }
  std::sort(balancers->begin(), balancers->end(),
            [](const balancer& a, const balancer& b) { return a.id < b.id; });
  const auto twice = std::adjacent_find(
      balancers->begin(), balancers->end(),
      [](const balancer& a, const balancer& b) { return a.id == b.id; });
  if (twice != balancers->end() || balancers->front().id == 0) {
    return Malformed();
  }
  return boost::outcome_v2::success();
}

}  // namespace cardamomroute
