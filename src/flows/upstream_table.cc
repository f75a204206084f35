#include "flows/upstream_table.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

namespace cardamomroute {
namespace {

using ranked_index = std::pair<uint64_t, size_t>;

/// Where an upstream stands in the search for a flow; the highest is asked
/// first.
struct search_rank {
  bool is_reachable = false;
  bool is_of_route = false;
  bool has_upstream = false;
  uint64_t weight = 0;

  friend bool operator>(const search_rank& a, const search_rank& b) {
    return std::tie(a.is_reachable, a.is_of_route, a.has_upstream, a.weight) >
           std::tie(b.is_reachable, b.is_of_route, b.has_upstream, b.weight);
  }
};

/// Keeps the `most` highest, highest first.
void KeepHighest(size_t most, std::vector<ranked_index>* ranked) {
  const size_t kept = std::min(most, ranked->size());
  std::partial_sort(ranked->begin(),
                    ranked->begin() + static_cast<ptrdiff_t>(kept),
                    ranked->end(), std::greater<>());
  ranked->resize(kept);
}

}  // namespace

double upstream_table::upstream::Load() const {
  return static_cast<double>(open_flows + kBusyFlowWeight * busy_flows) /
         known.slots;
}

void upstream_table::OnUpstreams(const std::vector<known_upstream>& known) {
  std::vector<upstream> next;
  next.reserve(known.size());
  for (const known_upstream& item : known) {
    const uint64_t service = HashOfService(item.service);
    const upstream* before = Find(item.agent);
    const bool stays = before != nullptr && before->service == service;
    upstream& added = next.emplace_back(stays ? *before : upstream());
    added.known = item;
    added.service = service;
  }
  upstreams_ = std::move(next);
  places_.clear();
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    places_[upstreams_[i].known.agent] = i;
  }
}

upstream_table::upstream* upstream_table::Find(const ipv4_address& agent) {
  const auto found = places_.find(agent);
  return found != places_.end() ? &upstreams_[found->second] : nullptr;
}

bool upstream_table::IsReachable(const ipv4_address& agent,
                                 absl::Time now) const {
  const auto found = places_.find(agent);
  return found != places_.end() && upstreams_[found->second].IsReachable(now);
}

uint64_t upstream_table::ServiceOf(const ipv4_address& agent) const {
  const auto found = places_.find(agent);
  return found != places_.end() ? upstreams_[found->second].service : 0;
}

void upstream_table::OnLoad(const ipv4_address& agent,
                            const inner::upstream_load& load) {
  if (upstream* item = Find(agent)) {
    item->open_flows = load.open_flows();
    item->busy_flows = load.busy_flows();
    item->avoided_until = absl::InfinitePast();
  }
}

void upstream_table::OnUnanswered(const ipv4_address& agent, absl::Time now) {
  if (upstream* item = Find(agent)) {
    item->avoided_until = now + kUnansweredPenalty;
  }
}

ipv4_address upstream_table::Place(uint64_t flow_hash, const flow_route& route,
                                   absl::Span<const ipv4_address> tried,
                                   absl::Time now) {
  // What the group last heard may be wrong, so a silent agent is the last
  // resort, not none.
  for (const bool also_silent : {false, true}) {
    uint64_t excluded = 0;
    while (const flow_share* share = route.ShareOf(flow_hash, excluded)) {
      upstream* chosen =
          Choose(flow_hash, share->service, tried, also_silent, now);
      if (chosen != nullptr) {
        ++chosen->open_flows;
        return chosen->known.agent;
      }
      excluded |= uint64_t{1} << (share - route.shares.data());
    }
  }
  return {};
}

upstream_table::upstream* upstream_table::Choose(
    uint64_t flow_hash, uint64_t service, absl::Span<const ipv4_address> tried,
    bool also_silent, absl::Time now) {
  std::vector<ranked_index> ranked;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const upstream& item = upstreams_[i];
    const bool is_open = item.service == service &&
                         item.known.state == upstream_state::kServing &&
                         (also_silent || item.IsReachable(now));
    if (is_open && std::find(tried.begin(), tried.end(), item.known.agent) ==
                       tried.end()) {
      ranked.emplace_back(RendezvousWeight(flow_hash, item.known.agent), i);
    }
  }
  KeepHighest(kPlacementCandidates, &ranked);
  upstream* chosen = nullptr;
  for (const auto& [weight, index] : ranked) {
    upstream& item = upstreams_[index];
    if (chosen == nullptr || item.Load() < chosen->Load()) {
      chosen = &item;
    }
  }
  return chosen;
}

ipv4_address upstream_table::NextToAsk(uint64_t flow_hash,
                                       const flow_route& route,
                                       absl::Span<const ipv4_address> denied,
                                       absl::Time now) const {
  search_rank best;
  const upstream* next = nullptr;
  for (const upstream& item : upstreams_) {
    if (std::find(denied.begin(), denied.end(), item.known.agent) !=
        denied.end()) {
      continue;
    }
    if (item.known.state == upstream_state::kEnded && !item.IsReachable(now)) {
      continue;  // It would deny the flow.
    }
    const bool is_of_route = std::any_of(
        route.shares.begin(), route.shares.end(),
        [&](const flow_share& share) { return share.service == item.service; });
    const search_rank rank{item.IsReachable(now), is_of_route,
                           item.known.state == upstream_state::kServing ||
                               item.known.state == upstream_state::kDraining,
                           RendezvousWeight(flow_hash, item.known.agent)};
    if (next == nullptr || rank > best) {
      best = rank;
      next = &item;
    }
  }
  return next != nullptr ? next->known.agent : ipv4_address();
}

}  // namespace cardamomroute
