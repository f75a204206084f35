#include "flows/route_set.h"

#include <algorithm>

#include "flows/flow_id.h"

namespace cardamomroute {

const flow_share* flow_route::ShareOf(uint64_t flow_hash,
                                      uint64_t excluded) const {
  const auto is_open = [&](size_t i) {
    return shares[i].weight != 0 && (excluded >> i & 1) == 0;
  };
  uint64_t total = 0;
  for (size_t i = 0; i < shares.size(); ++i) {
    total += is_open(i) ? shares[i].weight : 0;
  }
  if (total == 0) {
    return nullptr;
  }
  uint64_t point = flow_hash % total;
  for (size_t i = 0; i < shares.size(); ++i) {
    if (!is_open(i)) {
      continue;
    }
    if (point < shares[i].weight) {
      return &shares[i];
    }
    point -= shares[i].weight;
  }
  return nullptr;
}

route_set::route_set(uint64_t version, const inner::route_list& list)
    : version_(version) {
  routes_.reserve(static_cast<size_t>(list.routes_size()));
  for (const inner::route_record& record : list.routes()) {
    flow_route& route =
        routes_[{record.host(), static_cast<uint16_t>(record.port())}];
    route.name = record.name();
    route.urgency = record.urgency();
    route.patience =
        std::min(kLongestOpeningWait,
                 absl::Milliseconds(record.timeout_ms()) / kWaitsARequestTime);
    for (const inner::route_share& share : record.shares()) {
      route.shares.push_back({HashOfService(share.service()), share.weight()});
    }
  }
}

std::vector<ipv4_address> route_set::HostsMissingIn(
    const route_set& other) const {
  std::vector<ipv4_address> missing;
  for (const auto& [host, route] : routes_) {
    if (other.Find(host) == nullptr) {
      missing.push_back(host);
    }
  }
  return missing;
}

const flow_route* route_set::Find(const ipv4_address& host) const {
  const auto found = routes_.find(host);
  return found != routes_.end() ? &found->second : nullptr;
}

}  // namespace cardamomroute
