// Measures at several sizes what each role's state and messages cost, and fits
// a line to each: the slopes that docs/CAPACITY.md multiplies.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/concat.h"
#include "control/control_state.h"
#include "control/registry_core.h"
#include "inner/node.pb.h"
#include "load/filtered_view_costs.h"
#include "load/heap_usage.h"
#include "load/line_fit.h"
#include "load/run_time.h"
#include "load/size_fits.h"
#include "load/state_builder.h"
#include "routing/flow_cache.h"
#include "view/member_book.h"
#include "view/subtree_codec.h"

namespace cardamomroute::load {
namespace {

constexpr int kNodeSizes[] = {2500, 5000, 10000, 20000, 40000};
constexpr int kServiceSizes[] = {1500, 3000, 6000, 12000};
constexpr int kFlowSizes[] = {50000, 100000, 200000, 400000};
constexpr int kChangeSizes[] = {500, 1000, 2000};
constexpr int kServicesForTargets = 1000;

void MeasureTargets() {
  size_fits fits;
  for (const int targets : kNodeSizes) {
    fits.Measure(targets, kServicesForTargets, targets);
  }
  fits.Print("target");
}

void MeasureServices() {
  size_fits fits;
  for (const int services : kServiceSizes) {
    fits.Measure(services, services, services);
  }
  fits.Print("service_with_one_target");
}

void MeasureFlows() {
  line_fit fit;
  for (const int flows : kFlowSizes) {
    const size_t before = HeapBytes();
    flow_cache cache(static_cast<size_t>(flows));
    for (int i = 0; i < flows; ++i) {
      flow_key flow;
      flow.caller.ip[15] = static_cast<uint8_t>(i);
      flow.caller.ip[14] = static_cast<uint8_t>(i >> 8);
      flow.caller.ip[13] = static_cast<uint8_t>(i >> 16);
      flow.service = 1;
      cache.Insert(flow, 1);
    }
    fit.Add(flows, static_cast<double>(HeapBytes() - before));
  }
  fit.Print("balancer_bytes_per_cached_flow");
}

/// Replay of a log: what a restart costs for each entry after the snapshot.
void MeasureReplay() {
  line_fit fit;
  for (const int changes : kChangeSizes) {
    const auto built = state_builder::Build(kServicesForTargets, kNodeSizes[0]);
    fit.Add(changes, Microseconds([&] {
              for (int i = 0; i < changes / 2; ++i) {
                built->Replace(i, kServicesForTargets);
              }
            }));
  }
  fit.Print("replay_us_per_change");
}

size_t LossBytes(int targets, void (state_builder::*lose)(int)) {
  // Not a multiple of the zones, so that a service has targets in several.
  const int services = targets * 3 / 10 + 1;
  const auto built = state_builder::Build(services, targets);
  const uint64_t before = built->state().View().version;
  (*built.*lose)(0);
  return built->state().DeltaFrom(before).ByteSizeLong();
}

/// The change that a node is told when one of ten availability zones is lost,
/// named as a zone, and with each of its targets named.
void MeasureZoneLoss() {
  line_fit by_zone;
  line_fit by_target;
  for (const int targets : kNodeSizes) {
    by_zone.Add(targets, static_cast<double>(
                             LossBytes(targets, &state_builder::LoseZone)));
    by_target.Add(targets, static_cast<double>(LossBytes(
                               targets, &state_builder::LoseTargetsOf)));
  }
  by_zone.Print("zone_loss_delta_bytes_per_target");
  by_target.Print("targets_loss_delta_bytes_per_target");
}

/// A leader's registry hears each node once.
void MeasureHeartbeats() {
  line_fit time_fit;
  line_fit memory_fit;
  for (const int nodes : kNodeSizes) {
    const auto built = state_builder::Build(kServicesForTargets, nodes);
    const size_t before = HeapBytes();
    control::registry_core registry;
    const absl::Time start = absl::UnixEpoch();
    registry.StartLeading(built->state(), start);
    inner::pull_request pull;
    const auto hear_all = [&] {
      for (int i = 0; i < nodes; ++i) {
        pull.set_node_name(Concat("target-", i));
        pull.set_incarnation(static_cast<uint64_t>(i) + 1);
        pull.set_have_version(built->state().View().version);
        pull.mutable_announced_target()->set_zone("zone");
        registry.OnPull(pull, built->state(), start + absl::Seconds(1));
      }
    };
    hear_all();
    time_fit.Add(nodes, Microseconds(hear_all));
    memory_fit.Add(nodes, static_cast<double>(HeapBytes() - before));
  }
  time_fit.Print("registry_us_per_heartbeat");
  memory_fit.Print("registry_bytes_per_node");
}

/// A leader's registry hears of each node from one relay above all of them.
void MeasureRelayedHeartbeats() {
  line_fit fit;
  for (const int nodes : kNodeSizes) {
    const auto built = state_builder::Build(kServicesForTargets, nodes);
    control::registry_core registry;
    const absl::Time start = absl::UnixEpoch();
    registry.StartLeading(built->state(), start);
    std::vector<uint64_t> ids;
    for (const target& item : built->state().View().targets) {
      ids.push_back(item.id);
    }
    inner::pull_request pull;
    pull.set_node_name("relay");
    pull.mutable_announced_target()->set_zone("zone");
    pull.mutable_subtree()->set_digest(DigestOf(ids));
    WriteMembers(ids, pull.mutable_subtree());
    registry.OnPull(pull, built->state(), start);
    std::printf("relayed_members_bytes_%d=%zu\n", nodes, pull.ByteSizeLong());
    pull.mutable_subtree()->clear_member_steps();
    fit.Add(nodes, Microseconds([&] {
              registry.OnPull(pull, built->state(), start + absl::Seconds(1));
            }));
  }
  fit.Print("registry_us_per_relayed_node");
}

void PrintPullBytes(const char* key, const inner::pull_request& pull,
                    const inner::pull_answer& pulled) {
  inner::control_request request;
  *request.mutable_pull() = pull;
  inner::control_answer answer;
  *answer.mutable_pull() = pulled;
  std::printf("%s_bytes=%zu\n", key, request.ByteSizeLong());
  std::printf("%s_answer_bytes=%zu\n", key, answer.ByteSizeLong());
}

/// Bytes of a pull that finds nothing new, with its answer: from control, and
/// from a relay at the fourth level below it.
void MeasurePullBytes() {
  constexpr char kAddress[] = "192.168.100.100:7001";
  constexpr uint64_t kVersion = 1000000;
  constexpr int kRelays = 4;
  constexpr uint32_t kSequence = 100000;
  inner::pull_request pull;
  pull.set_have_version(kVersion);
  pull.set_sequence(kSequence);
  inner::pull_request direct = pull;
  direct.set_node_name("target-12345");
  direct.set_incarnation(1'800'000'000'000'000);
  direct.set_announced_service("service-12345");
  direct.mutable_announced_target()->set_zone("availability-zone");
  direct.mutable_announced_target()->set_agent(kAddress);
  direct.mutable_announced_target()->set_slots(2);
  inner::pull_answer answer;
  answer.set_present_version(kVersion);
  answer.set_sequence(kSequence);
  answer.set_taken(true);
  answer.set_max_direct_nodes(256);
  direct.set_view_service("service-12345");
  inner::pull_answer direct_answer = answer;
  direct_answer.set_view_targets(40000);
  direct_answer.set_own_id(40000);
  PrintPullBytes("idle_pull", direct, direct_answer);

  pull.set_address(kAddress);
  pull.set_own_id(40000);
  pull.set_view_service("service-12345");
  answer.set_view_targets(40000);
  answer.set_knowledge_age_ms(1000);
  for (int i = 0; i < kRelays; ++i) {
    answer.add_path(kAddress);
  }
  PrintPullBytes("idle_relayed_pull", pull, answer);
  pull.clear_view_service();
  WriteCounts({{kVersion, 400}}, pull.mutable_subtree());
  pull.mutable_subtree()->set_digest(1);
  PrintPullBytes("idle_relays_pull", pull, answer);
}

}  // namespace
}  // namespace cardamomroute::load

int main() {
  cardamomroute::load::MeasureTargets();
  cardamomroute::load::MeasureServices();
  cardamomroute::load::MeasureFlows();
  cardamomroute::load::MeasureReplay();
  cardamomroute::load::MeasureZoneLoss();
  cardamomroute::load::MeasureHeartbeats();
  cardamomroute::load::MeasureRelayedHeartbeats();
  cardamomroute::load::MeasurePullBytes();
  cardamomroute::load::MeasureFilteredViews();
  return 0;
}
