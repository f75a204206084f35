#include "routing/service_routes.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cardamomroute {
namespace {

constexpr uint64_t kTargetSeed = 0x726f757465736565ULL;
constexpr uint64_t kFirstMultiplier = 0x9e3779b97f4a7c15ULL;
constexpr uint64_t kSecondMultiplier = 0xd6e8feb86659fd93ULL;

uint64_t SeedOf(target_id id) { return XXH64(&id, sizeof(id), kTargetSeed); }

/// Weight of a target for a flow: two multiplications and shifts, so that a
/// pass over some hundred targets stays below a microsecond.
uint64_t Weight(uint64_t flow_hash, uint64_t target_seed) {
  uint64_t value = (flow_hash ^ target_seed) * kFirstMultiplier;
  value ^= value >> 32;
  value *= kSecondMultiplier;
  return value ^ (value >> 29);
}

bool GoesBefore(const route_target& a, const route_target& b) {
  return a.state != b.state ? a.state < b.state : a.id < b.id;
}

}  // namespace

route_target MakeRouteTarget(const target& item) {
  route_target route;
  route.id = item.id;
  route.agent = item.agent;
  route.zone_hash = static_cast<uint32_t>(
      XXH64(item.zone.data(), item.zone.size(), kTargetSeed));
  route.slots = item.slots;
  route.state = item.state;
  route.since_version = item.since_version;
  return route;
}

service_routes::service_routes(std::vector<route_target> targets)
    : targets_(std::move(targets)) {
  std::sort(targets_.begin(), targets_.end(), GoesBefore);
  seeds_.reserve(targets_.size());
  for (const route_target& item : targets_) {
    seeds_.push_back(SeedOf(item.id));
    serving_count_ += item.state == target_state::kServing ? 1 : 0;
  }
}

target_id service_routes::Home(uint64_t flow_hash) const {
  const std::size_t count =
      serving_count_ != 0 ? serving_count_ : targets_.size();
  if (count == 0) {
    return 0;
  }
  uint64_t best_weight = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const uint64_t weight = Weight(flow_hash, seeds_[i]);
    const bool is_better = weight > best_weight;
    best_weight = is_better ? weight : best_weight;
    best = is_better ? i : best;
  }
  return targets_[best].id;
}

target_id service_routes::Candidate(uint64_t flow_hash, target_id home) const {
  const route_target* home_target = Find(home);
  const uint32_t home_zone =
      home_target != nullptr ? home_target->zone_hash : 0;
  target_id best = 0;
  bool best_is_elsewhere = false;
  uint64_t best_weight = 0;
  for (std::size_t i = 0; i < serving_count_; ++i) {
    if (targets_[i].id == home) {
      continue;
    }
    const bool is_elsewhere =
        home_target != nullptr && targets_[i].zone_hash != home_zone;
    const uint64_t weight = Weight(flow_hash, seeds_[i]);
    if (best == 0 || (is_elsewhere && !best_is_elsewhere) ||
        (is_elsewhere == best_is_elsewhere && weight > best_weight)) {
      best = targets_[i].id;
      best_is_elsewhere = is_elsewhere;
      best_weight = weight;
    }
  }
  return best;
}

const route_target* service_routes::Find(target_id id) const {
  const auto serving_end =
      targets_.begin() + static_cast<std::ptrdiff_t>(serving_count_);
  const auto by_id = [](const route_target& item, target_id wanted) {
    return item.id < wanted;
  };
  auto found = std::lower_bound(targets_.begin(), serving_end, id, by_id);
  if (found != serving_end && found->id == id) {
    return &*found;
  }
  found = std::lower_bound(serving_end, targets_.end(), id, by_id);
  return found != targets_.end() && found->id == id ? &*found : nullptr;
}

}  // namespace cardamomroute
