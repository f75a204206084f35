#include "cardamomroute/control_report.h"

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "base/metrics.h"
#include "control/control_state.h"
#include "control/raft_core.h"
#include "control/registry_core.h"
#include "operators/service_impact.h"
#include "view/child_book.h"

namespace cardamomroute {
namespace {

/// A list of objects with their members in order.
using rows = nlohmann::ordered_json;

struct target_count {
  uint32_t serving = 0;
  uint32_t draining = 0;
};

std::map<service_id, target_count> CountTargets(const view& present) {
  std::map<service_id, target_count> counts;
  for (const target& item : present.targets) {
    target_count& count = counts[item.service];
    ++(item.state == target_state::kServing ? count.serving : count.draining);
  }
  return counts;
}

rows ServiceRows(const view& present) {
  rows table = rows::array();
  auto counts = CountTargets(present);
  const auto affected = AffectedByMissing(present);
  for (const service& item : present.services) {
    const auto found = affected.find(item.id);
    table.push_back(
        {{"name", item.name},
         {"id", item.id},
         {"address", ToString(item.address)},
         {"serving", counts[item.id].serving},
         {"draining", counts[item.id].draining},
         {"affects",
          found != affected.end() ? absl::StrJoin(found->second, ", ") : ""}});
  }
  return table;
}

rows TargetRows(const control::control_state& state) {
  rows table = rows::array();
  for (const target& item : state.View().targets) {
    const std::string* name = state.Nodes().NameOf(item.id);
    const service* offered = state.View().FindService(item.service);
    table.push_back(
        {{"id", item.id},
         {"name", name != nullptr ? *name : ""},
         {"service", offered != nullptr ? offered->name : ""},
         {"zone", item.zone},
         {"agent", ToString(item.agent)},
         {"state",
          item.state == target_state::kServing ? "serving" : "draining"},
         {"slots", item.slots}});
  }
  return table;
}

rows NodeRows(const control::control_state& state,
              const control::registry_core& registry, absl::Time now) {
  rows table = rows::array();
  for (const control::node_report& node : registry.Nodes(state, now)) {
    table.push_back(
        {{"name", node.name},
         {"view_version", node.version},
         {"silent_ms", absl::ToInt64Milliseconds(now - node.last_seen)}});
  }
  return table;
}

rows VersionRows(const version_counts& counts) {
  rows table = rows::array();
  for (const auto& [version, nodes] : counts) {
    table.push_back({{"view_version", version}, {"nodes", nodes}});
  }
  return table;
}

const char* NameOf(inner::member_role role) {
  return role == inner::VOTER ? "voter" : "standby";
}

}  // namespace

std::string StatusJson(const control::control_state& state,
                       const control::registry_core& registry,
                       const child_book& children, const metrics& measured,
                       absl::Time now) {
  const view& present = state.View();
  const control::in_force_count count =
      registry.CountInForce(present.version, now);
  nlohmann::ordered_json status;
  status["version"] = state.Text().version;
  status["digest"] = state.Text().digest;
  status["view_version"] = present.version;
  status["nodes"] = count.nodes;
  status["nodes_with_view"] = count.in_force;
  status["direct_nodes"] = children.size();
  status["nodes_by_version"] = VersionRows(children.Sum(now));
  status["balancers"] = present.balancers.size();
  status["services"] = ServiceRows(present);
  status["targets"] = TargetRows(state);
  status["node_list"] = NodeRows(state, registry, now);
  status["metrics"] = ToJson(measured.Values());
  return status.dump();
}

std::string MembersJson(const control::raft_core& raft, absl::Time now) {
  nlohmann::ordered_json document;
  const inner::member_record* leader = raft.Membership().Find(raft.Leader());
  document["leader"] = leader != nullptr ? leader->name() : "";
  document["term"] = raft.Term();
  document["commit_index"] = raft.CommitIndex();
  document["members"] = nlohmann::ordered_json::array();
  const auto statuses = raft.MemberStatuses();
  for (const inner::member_record& member : raft.Membership().Members()) {
    nlohmann::ordered_json row;
    row["name"] = member.name();
    row["id"] = member.id();
    row["address"] = member.address();
    row["zone"] = member.zone();
    row["role"] = NameOf(member.role());
    for (const control::raft_member_status& status : statuses) {
      if (status.member.id() == member.id() && member.id() != raft.Self()) {
        row["silent_ms"] = absl::ToInt64Milliseconds(now - status.last_contact);
        row["caught_up"] = status.caught_up;
      }
    }
    document["members"].push_back(std::move(row));
  }
  return document.dump();
}

}  // namespace cardamomroute
