#include "requests/observation_table.h"

#include "requests/sorted_ids.h"

namespace cardamomroute {
namespace {

// Half the range of the 24-bit Observe value, for comparison modulo 2^24, and
// the age from which any notification counts as newer (RFC 7641, section 3.4).
constexpr uint32_t kHalfSequenceRange = 1U << 23;
constexpr absl::Duration kReorderingWindow = absl::Seconds(128);

}  // namespace

bool IsNewerNotification(uint32_t previous, absl::Time previous_at,
                         uint32_t next, absl::Time now) {
  return (previous < next && next - previous < kHalfSequenceRange) ||
         (previous > next && previous - next > kHalfSequenceRange) ||
         now > previous_at + kReorderingWindow;
}

observation* observation_table::Add(const observation& value) {
  const uint64_t id = value.id;
  by_caller_[{value.flow, value.token}] = id;
  return &observations_.emplace(id, value).first->second;
}

observation* observation_table::Find(uint64_t id) {
  const auto it = observations_.find(id);
  return it == observations_.end() ? nullptr : &it->second;
}

observation* observation_table::FindByCaller(const flow_key& flow,
                                             const std::string& token) {
  const auto it = by_caller_.find({flow, token});
  return it == by_caller_.end() ? nullptr : Find(it->second);
}

observation* observation_table::FindByUpstream(leg_id leg,
                                               const std::string& token) {
  const auto it = by_upstream_.find({leg, token});
  return it == by_upstream_.end() ? nullptr : Find(it->second);
}

void observation_table::Bind(observation* value, leg_id leg,
                             std::string token) {
  if (value->leg != 0) {
    by_upstream_.erase({value->leg, value->upstream_token});
    --counts_[value->leg];
  }
  value->leg = leg;
  value->upstream_token = std::move(token);
  value->upstream_sequence.reset();
  if (leg != 0) {
    by_upstream_[{leg, value->upstream_token}] = value->id;
    ++counts_[leg];
  }
}

void observation_table::Erase(uint64_t id) {
  observation* value = Find(id);
  if (value == nullptr) {
    return;
  }
  Bind(value, 0, {});
  const auto it = by_caller_.find({value->flow, value->token});
  if (it != by_caller_.end() && it->second == id) {
    by_caller_.erase(it);
  }
  observations_.erase(id);
}

size_t observation_table::CountOn(leg_id leg) const {
  const auto it = counts_.find(leg);
  return it == counts_.end() ? 0 : it->second;
}

std::vector<uint64_t> observation_table::IdsOf(const flow_key& flow) const {
  return SortedIdsIf(observations_, [&](const observation& value) {
    return value.flow == flow;
  });
}

std::vector<uint64_t> observation_table::IdsOn(leg_id leg) const {
  return SortedIdsIf(observations_, [leg](const observation& value) {
    return value.leg == leg;
  });
}

std::vector<uint64_t> observation_table::AllIds() const {
  return SortedIds(observations_);
}

}  // namespace cardamomroute
