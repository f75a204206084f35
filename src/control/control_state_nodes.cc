#include "control/control_state_nodes.h"

#include <algorithm>
#include <utility>

namespace cardamomroute::control {
namespace {

// Returns the ids of the items for which `matches` returns true.
template <typename Item, typename Predicate>
std::vector<uint64_t> IdsWhere(const std::vector<Item>& items,
                               const Predicate& matches) {
  std::vector<uint64_t> ids;
  for (const Item& item : items) {
    if (matches(item)) {
      ids.push_back(item.id);
    }
  }
  return ids;
}

}  // namespace

const registered_node* node_table::Find(const std::string& name) const {
  const auto found = nodes_.find(name);
  return found != nodes_.end() ? &found->second : nullptr;
}

const std::string* node_table::NameOf(uint64_t id) const {
  const auto found = names_by_id_.find(id);
  return found != names_by_id_.end() ? &found->second : nullptr;
}

const std::string* node_table::NameOfAgent(const endpoint& agent) const {
  const auto found = ids_by_agent_.find(agent);
  return found != ids_by_agent_.end() ? NameOf(found->second) : nullptr;
}

void node_table::Apply(const inner::registry_batch& batch,
                       versioned_view* edited) {
  for (const inner::zone_loss& loss : batch.lost_zones()) {
    RemoveZone(loss, edited);
  }
  RemoveNodes({batch.lost().begin(), batch.lost().end()}, edited);
  for (const inner::node_join& join : batch.joined()) {
    Join(join, edited);
  }
  for (const uint64_t id : batch.drained()) {
    Drain(id, edited);
  }
}

// A join with an incarnation that is not higher is a duplicate or a delayed
// message of an older process.
void node_table::Join(const inner::node_join& join, versioned_view* edited) {
  const registered_node* known = Find(join.node_name());
  if (known != nullptr && known->incarnation >= join.incarnation()) {
    return;
  }
  if (join.has_target()) {
    JoinTarget(join, edited);
  } else if (join.has_balancer()) {
    JoinBalancer(join, edited);
  }
}

void node_table::JoinTarget(const inner::node_join& join,
                            versioned_view* edited) {
  const service* wanted = edited->FindServiceNamed(join.service());
  const auto agent = ParseEndpoint(join.target().agent());
  if (wanted == nullptr || !agent) {
    return;
  }
  const auto previous = ids_by_agent_.find(agent.value());
  if (previous != ids_by_agent_.end()) {
    RemoveNodes({previous->second}, edited);
  }
  target added;
  added.service = wanted->id;
  added.zone = join.target().zone();
  added.agent = agent.value();
  added.slots = std::max<uint32_t>(join.target().slots(), 1);
  added.id = RegisterNode(join, edited);
  ids_by_agent_[added.agent] = added.id;
  edited->PutTarget(std::move(added));
}

void node_table::JoinBalancer(const inner::node_join& join,
                              versioned_view* edited) {
  const auto address = ParseEndpoint(join.balancer().inner());
  if (!address) {
    return;
  }
  balancer added;
  added.zone = join.balancer().zone();
  added.inner = address.value();
  added.id = RegisterNode(join, edited);
  edited->PutBalancer(std::move(added));
}

uint64_t node_table::RegisterNode(const inner::node_join& join,
                                  versioned_view* edited) {
  if (const registered_node* previous = Find(join.node_name())) {
    RemoveNodes({previous->id}, edited);
  }
  const uint64_t id = next_id_++;
  nodes_[join.node_name()] = {join.incarnation(), id};
  names_by_id_[id] = join.node_name();
  return id;
}

void node_table::Drain(uint64_t id, versioned_view* edited) {
  const target* current = edited->Current().FindTarget(id);
  if (current == nullptr) {
    return;
  }
  target drained = *current;
  drained.state = target_state::kDraining;
  edited->PutTarget(std::move(drained));
}

// Ignores ids that no node has.
void node_table::RemoveNodes(std::vector<uint64_t> ids,
                             versioned_view* edited) {
  std::sort(ids.begin(), ids.end());
  std::vector<uint64_t> known;
  for (const uint64_t id : ids) {
    const auto name = names_by_id_.find(id);
    if (name == names_by_id_.end()) {
      continue;
    }
    if (const target* current = edited->Current().FindTarget(id)) {
      ids_by_agent_.erase(current->agent);
    }
    nodes_.erase(name->second);
    names_by_id_.erase(name);
    known.push_back(id);
  }
  edited->RemoveTargets(known);
  edited->RemoveBalancers(known);
}

void node_table::RemoveZone(const inner::zone_loss& loss,
                            versioned_view* edited) {
  const lost_zone lost = {0, loss.zone(), loss.below_id()};
  const auto is_lost = [&](const auto& item) { return lost.Contains(item); };
  std::vector<uint64_t> ids = IdsWhere(edited->Current().targets, is_lost);
  const auto balancers = IdsWhere(edited->Current().balancers, is_lost);
  ids.insert(ids.end(), balancers.begin(), balancers.end());
  if (ids.empty()) {
    return;
  }
  edited->AddLostZone(lost);
  RemoveNodes(std::move(ids), edited);
}

void node_table::RemoveTargetsOf(const std::vector<service_id>& services,
                                 versioned_view* edited) {
  const auto is_of = [&](const target& item) {
    return std::binary_search(services.begin(), services.end(), item.service);
  };
  RemoveNodes(IdsWhere(edited->Current().targets, is_of), edited);
}

void node_table::Save(inner::state_snapshot* snapshot) const {
  snapshot->set_next_node(next_id_);
  for (const auto& [name, node] : nodes_) {
    inner::node_record* record = snapshot->add_nodes();
    record->set_node_name(name);
    record->set_incarnation(node.incarnation);
    record->set_id(node.id);
  }
}

void node_table::Restore(const inner::state_snapshot& snapshot,
                         const view& restored) {
  *this = node_table();
  next_id_ = std::max<uint64_t>(snapshot.next_node(), 1);
  for (const inner::node_record& record : snapshot.nodes()) {
    nodes_[record.node_name()] = {record.incarnation(), record.id()};
    names_by_id_[record.id()] = record.node_name();
  }
  for (const target& item : restored.targets) {
    ids_by_agent_[item.agent] = item.id;
  }
}

}  // namespace cardamomroute::control
