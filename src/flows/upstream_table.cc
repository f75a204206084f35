#include "flows/upstream_table.h"

#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "flows/holder_search.h"

namespace cardamomroute {
namespace {

using ranked_index = std::pair<uint64_t, size_t>;

/// Where an upstream stands in the search for a flow.
struct search_rank {
  /// Place of its service among the shares of the route, as the flow's hash
  /// chooses among them; behind them for other services.
  size_t share = 0;
  uint64_t service = 0;
  bool has_ended = false;
  uint64_t weight = 0;
  const known_upstream* known = nullptr;
  bool is_reachable = false;
  /// Place among the upstreams of its service.
  size_t rank = 0;
};

bool IsBeforeInItsService(const search_rank& a, const search_rank& b) {
  return std::tie(a.share, a.service, a.has_ended, b.weight) <
         std::tie(b.share, b.service, b.has_ended, a.weight);
}

bool IsBeforeInItsShare(const search_rank& a, const search_rank& b) {
  return std::tie(a.share, a.rank, b.weight) <
         std::tie(b.share, b.rank, a.weight);
}

// The first of each share go before the rest of any: a flow was placed among
// the first of its service, also where that one has the route no more.
void SortBySearch(std::vector<search_rank>* ranked) {
  std::sort(ranked->begin(), ranked->end(), &IsBeforeInItsService);
  for (size_t i = 1; i < ranked->size(); ++i) {
    const search_rank& before = (*ranked)[i - 1];
    search_rank& item = (*ranked)[i];
    item.rank = item.service == before.service ? before.rank + 1 : 0;
  }
  std::sort(ranked->begin(), ranked->end(), &IsBeforeInItsShare);
  size_t share = 0;
  size_t place = 0;
  std::stable_partition(ranked->begin(), ranked->end(),
                        [&](const search_rank& item) {
                          place = item.share == share ? place : 0;
                          share = item.share;
                          return place++ < kLikelyHolders;
                        });
}

/// The services of the route, the one that the flow was placed at first; others
/// where its upstreams had no room.
std::vector<uint64_t> ServicesOf(const flow_route& route, uint64_t flow_hash) {
  std::vector<uint64_t> services;
  uint64_t excluded = 0;
  while (const flow_share* share = route.ShareOf(flow_hash, excluded)) {
    services.push_back(share->service);
    excluded |= uint64_t{1} << (share - route.shares.data());
  }
  return services;
}

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

std::vector<search_candidate> upstream_table::SearchOrder(
    uint64_t flow_hash, const flow_route& route, absl::Time now) const {
  const std::vector<uint64_t> services = ServicesOf(route, flow_hash);
  std::vector<search_rank> ranked;
  ranked.reserve(upstreams_.size());
  for (const upstream& item : upstreams_) {
    const bool is_reachable = item.IsReachable(now);
    if (item.known.state == upstream_state::kEnded && !is_reachable) {
      continue;  // It would deny the flow.
    }
    const auto service =
        std::find(services.begin(), services.end(), item.service);
    ranked.push_back({static_cast<size_t>(service - services.begin()),
                      item.service, item.known.state == upstream_state::kEnded,
                      RendezvousWeight(flow_hash, item.known.agent),
                      &item.known, is_reachable});
  }
  SortBySearch(&ranked);
  std::vector<search_candidate> order;
  order.reserve(ranked.size());
  for (const search_rank& rank : ranked) {
    order.push_back({rank.known->agent, rank.is_reachable, rank.known->silent});
  }
  return order;
}

}  // namespace cardamomroute
