#include "routing/epoch_history.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "view/node_lease.h"

namespace cardamomroute {
namespace {

constexpr std::size_t kMaxEpochs = 8;

/// A target that did not register its flows in the time of a lease and this
/// margin has lost its lease.
constexpr absl::Duration kSyncMargin = absl::Seconds(1);

bool MayBeHome(const service_routes& routes, target_id id) {
  const route_target* item = routes.Find(id);
  return item != nullptr &&
         (item->state == target_state::kServing || routes.serving_count() == 0);
}

/// True when some flow may have `own_id` as its home under `next` but not
/// under `previous`.
bool MayGain(const service_routes& previous, const service_routes& next,
             target_id own_id) {
  if (!MayBeHome(previous, own_id)) {
    return MayBeHome(next, own_id);
  }
  return std::any_of(previous.targets().begin(), previous.targets().end(),
                     [&](const route_target& item) {
                       return MayBeHome(previous, item.id) &&
                              !MayBeHome(next, item.id);
                     });
}

bool HasSameTargets(const service_routes& a, const service_routes& b) {
  return std::equal(a.targets().begin(), a.targets().end(), b.targets().begin(),
                    b.targets().end(),
                    [](const route_target& left, const route_target& right) {
                      return left.id == right.id && left.state == right.state;
                    });
}

}  // namespace

bool epoch_history::OnView(const view& current, const service& item,
                           absl::Time now) {
  epoch_entry entry = MakeEntry(current, item);
  const bool is_first = epochs_.empty();
  if (!is_first && HasSameTargets(routes(), entry.routes) &&
      (item.epoch == 0 || item.epoch == epoch())) {
    epochs_.back().routes = std::move(entry.routes);
    return false;
  }
  if (!is_first) {
    epochs_.back().ended_at = now;
  }
  const bool follows =
      !is_first && item.epoch != 0 && item.previous_epoch == epoch();
  if (!follows) {
    epoch_entry previous = DerivePrevious(entry, item);
    previous.is_gap = true;
    Await(&previous, now);
    epochs_.push_back(std::move(previous));
  }
  if (MayGain(routes(), entry.routes, own_id_)) {
    Await(&entry, now);
  }
  epochs_.push_back(std::move(entry));
  DropGonePeers();
  Prune();
  return true;
}

void epoch_history::OnSynced(target_id peer, uint64_t peer_version) {
  for (epoch_entry& entry : epochs_) {
    if (entry.version <= peer_version && entry.awaited.erase(peer) != 0) {
      entry.synced_version = std::max(entry.synced_version, peer_version);
    }
  }
}

void epoch_history::OnTick(absl::Time now) {
  for (epoch_entry& entry : epochs_) {
    if (now >= entry.deadline && !entry.awaited.empty()) {
      entry.awaited.clear();
      entry.synced_version = std::numeric_limits<uint64_t>::max();
    }
  }
}

std::vector<target_id> epoch_history::AwaitedPeers() const {
  absl::flat_hash_set<target_id> awaited;
  for (const epoch_entry& entry : epochs_) {
    awaited.insert(entry.awaited.begin(), entry.awaited.end());
  }
  std::vector<target_id> peers(awaited.begin(), awaited.end());
  std::sort(peers.begin(), peers.end());
  return peers;
}

authority_answer epoch_history::AuthorityOver(uint64_t flow_hash) const {
  authority_answer answer;
  if (epochs_.empty() || routes().Home(flow_hash) != own_id_) {
    return answer;
  }
  const std::size_t start = FindStart(flow_hash, epochs_.size() - 1);
  if (KnowsAllHolders(start)) {
    answer.authority = flow_authority::kNobodyHolds;
    return answer;
  }
  answer.authority = flow_authority::kAwaitSync;
  if (start > 0 && !epochs_[start].is_gap) {
    const epoch_entry& before = epochs_[start - 1];
    const target_id previous_home = before.routes.Home(flow_hash);
    if (routes().Find(previous_home) != nullptr) {
      answer.authority = flow_authority::kAskPrevious;
      answer.previous_home = previous_home;
      answer.previous_epoch = before.epoch;
    }
  }
  return answer;
}

bool epoch_history::KnowsUnheldAt(uint64_t flow_hash, uint64_t epoch,
                                  absl::Time now) const {
  for (std::size_t i = epochs_.size(); i-- > 0;) {
    const epoch_entry& entry = epochs_[i];
    if (entry.epoch == epoch && !entry.is_derived) {
      return now < entry.ended_at + kRedirectLifetime / 2 &&
             entry.routes.Home(flow_hash) == own_id_ &&
             KnewAllHolders(FindStart(flow_hash, i), i);
    }
  }
  return false;
}

bool epoch_history::IsHomeSince(uint64_t flow_hash, target_id home,
                                uint64_t epoch) const {
  for (std::size_t i = epochs_.size(); i-- > 0;) {
    const epoch_entry& entry = epochs_[i];
    if (entry.is_derived || entry.routes.Home(flow_hash) != home) {
      return false;
    }
    if (entry.epoch == epoch) {
      return true;
    }
    if (entry.is_gap) {
      return false;
    }
  }
  return false;
}

bool epoch_history::IsGapBeforePresent() const {
  return epochs_.size() < 2 || epochs_[epochs_.size() - 2].is_derived;
}

epoch_history::epoch_entry epoch_history::MakeEntry(const view& current,
                                                    const service& item) const {
  std::vector<route_target> targets;
  for (const target& candidate : current.targets) {
    if (candidate.service == item.id) {
      targets.push_back(MakeRouteTarget(candidate));
    }
  }
  epoch_entry entry;
  entry.epoch = item.epoch != 0 ? item.epoch : current.version;
  entry.version = current.version;
  entry.routes = service_routes(std::move(targets));
  return entry;
}

epoch_history::epoch_entry epoch_history::DerivePrevious(
    const epoch_entry& entry, const service& item) const {
  std::vector<route_target> targets;
  for (route_target target : entry.routes.targets()) {
    const bool is_changed = target.since_version == item.epoch;
    if (is_changed && target.state == target_state::kServing) {
      continue;
    }
    if (is_changed) {
      target.state = target_state::kServing;
    }
    targets.push_back(target);
  }
  epoch_entry previous;
  previous.epoch = item.previous_epoch;
  previous.version = entry.version;
  previous.routes = service_routes(std::move(targets));
  previous.is_derived = true;
  return previous;
}

void epoch_history::Await(epoch_entry* entry, absl::Time now) const {
  for (const route_target& item : entry->routes.targets()) {
    if (item.id != own_id_) {
      entry->awaited.insert(item.id);
    }
  }
  entry->deadline = now + kNodeLease + kSyncMargin;
}

std::size_t epoch_history::FindStart(uint64_t flow_hash,
                                     std::size_t index) const {
  while (index > 0 && !epochs_[index].is_gap &&
         epochs_[index - 1].routes.Home(flow_hash) == own_id_) {
    --index;
  }
  return index;
}

bool epoch_history::KnowsAllHolders(std::size_t start) const {
  return epochs_[start].awaited.empty();
}

bool epoch_history::KnewAllHolders(std::size_t start, std::size_t index) const {
  const bool is_present = index + 1 == epochs_.size();
  return KnowsAllHolders(start) &&
         (is_present ||
          epochs_[start].synced_version < epochs_[index + 1].version);
}

void epoch_history::DropGonePeers() {
  const service_routes& present = routes();
  for (epoch_entry& entry : epochs_) {
    for (auto peer = entry.awaited.begin(); peer != entry.awaited.end();) {
      const auto next = std::next(peer);
      if (present.Find(*peer) == nullptr) {
        entry.awaited.erase(peer);
      }
      peer = next;
    }
  }
}

void epoch_history::Prune() {
  while (epochs_.size() > kMaxEpochs) {
    epoch_entry& dropped = epochs_[0];
    epoch_entry& oldest = epochs_[1];
    if (!dropped.awaited.empty()) {
      oldest.awaited.insert(dropped.awaited.begin(), dropped.awaited.end());
      oldest.deadline = std::max(oldest.deadline, dropped.deadline);
    }
    oldest.synced_version =
        std::max(oldest.synced_version, dropped.synced_version);
    oldest.is_gap = true;
    epochs_.pop_front();
  }
}

}  // namespace cardamomroute
