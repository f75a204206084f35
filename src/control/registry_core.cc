#include "control/registry_core.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "view/member_book.h"
#include "view/subtree_codec.h"

namespace cardamomroute::control {
namespace {

inner::node_join JoinOf(const inner::pull_request& pull) {
  inner::node_join join;
  join.set_node_name(pull.node_name());
  join.set_incarnation(pull.incarnation());
  if (pull.has_announced_target()) {
    *join.mutable_target() = pull.announced_target();
    join.set_service(pull.announced_service());
  } else {
    *join.mutable_balancer() = pull.announced_balancer();
  }
  return join;
}

bool IsAnnouncement(const inner::pull_request& pull) {
  return pull.has_announced_target() || pull.has_announced_balancer();
}

bool IsEmpty(const inner::registry_batch& batch) {
  return batch.joined_size() == 0 && batch.drained_size() == 0 &&
         batch.lost_size() == 0 && batch.lost_zones_size() == 0;
}

size_t NodeCount(const inner::registry_batch& batch) {
  return batch.joined_size() + batch.drained_size() + batch.lost_size();
}

}  // namespace

void registry_core::StartLeading(const control_state& state, absl::Time now) {
  *this = registry_core();
  leading_ = true;
  next_batch_at_ = now;
  next_loss_scan_at_ = now + kRegistryLease;
  for (const auto& [name, node] : state.Nodes().Nodes()) {
    contacts_[name] = {node.incarnation, 0, now, now + kRegistryLease};
  }
}

void registry_core::StopLeading() { *this = registry_core(); }

bool registry_core::OnPull(const inner::pull_request& pull,
                           const control_state& state, absl::Time now) {
  if (!IsAnnouncement(pull) || pull.node_name().empty()) {
    return true;
  }
  const registered_node* known = state.Nodes().Find(pull.node_name());
  if (known != nullptr && known->incarnation > pull.incarnation()) {
    return true;  // A pull of an older process does not renew the lease.
  }
  RecordContact(pull.node_name(), pull.have_version(), now);
  contacts_[pull.node_name()].incarnation = pull.incarnation();
  RecordAnnouncement(pull, state);
  return pull.announce_only() || UpdateSubtree(pull, state, now);
}

void registry_core::RecordContact(const std::string& name, uint64_t version,
                                  absl::Time now) {
  node_contact& node = contacts_[name];
  node.version = version;
  node.last_seen = now;
  node.deadline = now + kRegistryLease;
}

bool registry_core::UpdateSubtree(const inner::pull_request& pull,
                                  const control_state& state, absl::Time now) {
  const inner::subtree_report& subtree = pull.subtree();
  const bool has_list = !pull.has_subtree() || subtree.member_steps_size() > 0;
  const auto known = relays_.find(pull.node_name());
  if (!has_list &&
      (known == relays_.end() || known->second.digest != subtree.digest())) {
    return false;
  }
  if (!pull.has_subtree() && known == relays_.end()) {
    return true;
  }
  relay_subtree& relay = relays_[pull.node_name()];
  relay.deadline = now + kRegistryLease;
  if (has_list) {
    const std::vector<uint64_t> before = std::move(relay.ids);
    relay.digest = subtree.digest();
    relay.ids = ReadMembers(subtree);
    ShortenMissingLeases(before, relay.ids, state, now);
  }
  uint64_t version = pull.have_version();
  for (const inner::version_count& count : subtree.versions()) {
    version = std::min(version, count.version());
  }
  RenewMembers(relay, version, state, now);
  if (relay.ids.empty()) {
    relays_.erase(pull.node_name());
  }
  return true;
}

// `version` is the oldest in the subtree, so that each member has at least
// that.
void registry_core::RenewMembers(const relay_subtree& relay, uint64_t version,
                                 const control_state& state, absl::Time now) {
  for (const uint64_t id : relay.ids) {
    const std::string* name = state.Nodes().NameOf(id);
    if (name == nullptr) {
      continue;
    }
    node_contact& node = contacts_[*name];
    node.version = std::max(node.version, version);
    node.last_seen = now;
    node.deadline = std::max(node.deadline, now + kRelayedLease);
  }
}

// Shortens the leases instead of ending them, because the missing members may
// pull through another relay by now.
void registry_core::ShortenMissingLeases(const std::vector<uint64_t>& before,
                                         const std::vector<uint64_t>& after,
                                         const control_state& state,
                                         absl::Time now) {
  std::vector<uint64_t> missing;
  std::set_difference(before.begin(), before.end(), after.begin(), after.end(),
                      std::back_inserter(missing));
  for (const uint64_t id : missing) {
    const std::string* name = state.Nodes().NameOf(id);
    const auto node = name != nullptr ? contacts_.find(*name) : contacts_.end();
    if (node != contacts_.end()) {
      node->second.deadline =
          std::min(node->second.deadline, now + kMissingMemberLease);
    }
  }
}

void registry_core::RecordAnnouncement(const inner::pull_request& pull,
                                       const control_state& state) {
  const registered_node* known = state.Nodes().Find(pull.node_name());
  const bool is_registered =
      known != nullptr && known->incarnation == pull.incarnation();
  if (pull.leaving()) {
    joining_.erase(pull.node_name());
    if (is_registered) {
      leaving_.insert(pull.node_name());
    }
  } else if (!is_registered) {
    joining_[pull.node_name()] = JoinOf(pull);
  }
}

std::optional<inner::registry_batch> registry_core::BuildBatch(
    const control_state& state, absl::Time now) {
  if (!leading_ || batch_in_flight_ || now < next_batch_at_) {
    return std::nullopt;
  }
  inner::registry_batch batch;
  if (now >= next_loss_scan_at_) {
    AddLosses(state, now, &batch);
    RemoveExpired(state, now);
    next_loss_scan_at_ = now + kLossScanInterval;
  }
  AddDepartures(state, &batch);
  AddJoins(state, now, &batch);
  next_batch_at_ = now + kMinBatchInterval;
  if (IsEmpty(batch)) {
    return std::nullopt;
  }
  batch_in_flight_ = true;
  return batch;
}

void registry_core::AddJoins(const control_state& state, absl::Time now,
                             inner::registry_batch* batch) {
  for (auto join = joining_.begin(); join != joining_.end();) {
    const registered_node* known = state.Nodes().Find(join->first);
    const auto contact = contacts_.find(join->first);
    if (contact == contacts_.end() || now >= contact->second.deadline ||
        (known != nullptr &&
         known->incarnation >= join->second.incarnation())) {
      join = joining_.erase(join);
      continue;
    }
    if (NodeCount(*batch) < kMaxBatchNodes &&
        CanJoin(join->second, state, now)) {
      *batch->add_joined() = join->second;
    }
    ++join;
  }
}

// A target cannot join before the text has its service, nor while another node
// with the same agent address has a valid lease.
bool registry_core::CanJoin(const inner::node_join& join,
                            const control_state& state, absl::Time now) const {
  if (!join.has_target()) {
    return true;
  }
  const auto agent = ParseEndpoint(join.target().agent());
  if (!agent || !state.HasService(join.service())) {
    return false;
  }
  const std::string* holder = state.Nodes().NameOfAgent(agent.value());
  if (holder == nullptr || *holder == join.node_name()) {
    return true;
  }
  const auto contact = contacts_.find(*holder);
  return contact == contacts_.end() || now >= contact->second.deadline;
}

// Targets drain and stay in the view until they fall silent; balancers are
// removed from the view at once.
void registry_core::AddDepartures(const control_state& state,
                                  inner::registry_batch* batch) {
  for (auto name = leaving_.begin();
       name != leaving_.end() && NodeCount(*batch) < kMaxBatchNodes;) {
    const registered_node* node = state.Nodes().Find(*name);
    const target* current_target =
        node != nullptr ? state.View().FindTarget(node->id) : nullptr;
    if (current_target != nullptr &&
        current_target->state == target_state::kServing) {
      batch->add_drained(node->id);
    } else if (node != nullptr && current_target == nullptr) {
      batch->add_lost(node->id);
    }
    name = leaving_.erase(name);
  }
}

registry_core::zone_table registry_core::CollectZones(
    const control_state& state, absl::Time now) const {
  zone_table zones;
  const auto add = [&](const auto& item) {
    zone_status& zone = zones[item.zone];
    ++zone.node_count;
    const auto contact = contacts_.find(*state.Nodes().NameOf(item.id));
    if (contact == contacts_.end()) {
      return;
    }
    zone.suspected_count +=
        now >= contact->second.last_seen + kZoneSuspicionTimeout ? 1 : 0;
    if (now >= contact->second.deadline) {
      zone.lost.push_back(item.id);
    }
  };
  const view& current_view = state.View();
  std::for_each(current_view.targets.begin(), current_view.targets.end(), add);
  std::for_each(current_view.balancers.begin(), current_view.balancers.end(),
                add);
  return zones;
}

bool registry_core::IsMassLossDelayed(const zone_table& zones, absl::Time now) {
  size_t nodes = 0;
  size_t lost = 0;
  for (const auto& [name, zone] : zones) {
    nodes += zone.node_count;
    lost += zone.lost.size();
  }
  if (2 * lost <= nodes) {
    mass_loss_delayed_until_.reset();
    return false;
  }
  if (!mass_loss_delayed_until_) {
    mass_loss_delayed_until_ = now + kMassLossDelay;
  }
  return now < *mass_loss_delayed_until_;
}

void registry_core::AddLosses(const control_state& state, absl::Time now,
                              inner::registry_batch* batch) {
  const zone_table zones = CollectZones(state, now);
  if (IsMassLossDelayed(zones, now)) {
    return;
  }
  for (const auto& [name, zone] : zones) {
    if (!zone.IsSilent()) {
      batch->mutable_lost()->Add(zone.lost.begin(), zone.lost.end());
    } else if (zone.lost.size() == zone.node_count) {
      inner::zone_loss* loss = batch->add_lost_zones();
      loss->set_zone(name);
      loss->set_below_id(state.Nodes().NextId());
    }
  }
}

bool registry_core::IsExpired(const std::string& name, const node_contact& node,
                              const control_state& state, absl::Time now) {
  return now >= node.deadline && state.Nodes().Find(name) == nullptr;
}

void registry_core::RemoveExpired(const control_state& state, absl::Time now) {
  for (auto relay = relays_.begin(); relay != relays_.end();) {
    const auto current = relay++;
    if (now >= current->second.deadline) {
      relays_.erase(current);
    }
  }
  for (auto node = contacts_.begin(); node != contacts_.end();) {
    const auto current = node++;
    if (IsExpired(current->first, current->second, state, now)) {
      contacts_.erase(current);
    }
  }
}

in_force_count registry_core::CountInForce(uint64_t version,
                                           absl::Time now) const {
  in_force_count count;
  for (const auto& [name, node] : contacts_) {
    if (now < node.deadline) {
      ++count.nodes;
      count.in_force += node.version >= version ? 1 : 0;
    }
  }
  return count;
}

std::vector<node_report> registry_core::Nodes(const control_state& state,
                                              absl::Time now) const {
  std::vector<node_report> reports;
  reports.reserve(contacts_.size());
  for (const auto& [name, node] : contacts_) {
    if (!IsExpired(name, node, state, now)) {
      reports.push_back({name, node.version, node.last_seen});
    }
  }
  std::sort(reports.begin(), reports.end(),
            [](const node_report& a, const node_report& b) {
              return a.name < b.name;
            });
  return reports;
}

}  // namespace cardamomroute::control
