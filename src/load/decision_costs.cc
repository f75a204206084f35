#include "load/decision_costs.h"

#include <cstddef>
#include <cstdint>

#include "load/figure_output.h"
#include "load/heap_usage.h"
#include "load/run_time.h"
#include "load/synthetic_view.h"
#include "routing/balancer_core.h"
#include "routing/flow_core.h"
#include "routing/placement_strategy.h"
#include "view/view_codec.h"

namespace cardamomroute::load {
namespace {

constexpr uint32_t kFewTargets = 7;

double MeasureDecision(uint32_t targets, bool cached) {
  constexpr std::size_t kCachedFlows = 1 << 20;
  constexpr std::size_t kPackets = 200000;
  const absl::Time now = absl::UnixEpoch();
  balancer_core core(NumberedAddress(9), kCachedFlows);
  core.OnChange(
      DecodeDelta(MakeDelta(view{}, MakeSyntheticView(1, targets))).value());
  core.OnCurrentVersion(1, now);
  if (cached) {
    for (std::size_t i = 0; i < kPackets; ++i) {
      const auto caller = NumberedAddress(static_cast<uint32_t>(i));
      balancer_decision decision =
          core.OnPacket(caller, NumberedAddress(1), now);
      decision.header.kind = packet_kind::kToCaller;
      decision.header.holder = decision.agent_id;
      core.OnAnswer(decision.header);
    }
  }
  uint64_t sum = 0;
  const double each = NanosecondsEach(kPackets, [&](std::size_t i) {
    const auto caller = NumberedAddress(static_cast<uint32_t>(i));
    sum += core.OnPacket(caller, NumberedAddress(1), now).agent_id;
  });
  return sum != 0 ? each : 0;
}

void MeasureHeldFlows() {
  constexpr std::size_t kHeldFlows = 100000;
  constexpr target_id kOwn = 2;
  const absl::Time now = absl::UnixEpoch();
  const view current = MakeSyntheticView(1, 1);
  view own_view = current;
  own_view.targets[0].id = kOwn;
  flow_core core(kOwn, 1, &HomeOnlyPlacement());
  flow_actions actions;
  core.OnView(own_view, now, &actions);
  core.OnCurrentVersion(1, now);
  packet_header header;
  header.flow.service = 1;
  header.view_version = 1;
  header.receiver = kOwn;
  const auto receive = [&](std::size_t i) {
    header.flow.caller = NumberedAddress(static_cast<uint32_t>(i));
    actions.clear();
    core.OnPacket(header, "", now, &actions);
  };
  const std::size_t before = HeapBytes();
  PrintFigure("agent_placement_ns", NanosecondsEach(kHeldFlows, receive));
  PrintFigure("bytes_per_held_flow",
              static_cast<double>(HeapBytes() - before) / kHeldFlows);
  PrintFigure("agent_decision_ns", NanosecondsEach(kHeldFlows, receive));
}

void MeasureRedirects() {
  constexpr std::size_t kRedirects = 100000;
  const absl::Time now = absl::UnixEpoch();
  const view current = MakeSyntheticView(1, 2);
  flow_core core(1, 1, &HomeOnlyPlacement());
  flow_actions actions;
  core.OnView(current, now, &actions);
  const std::size_t before = HeapBytes();
  packet_header header;
  header.kind = packet_kind::kRegister;
  header.flow.service = 1;
  header.view_version = 1;
  header.receiver = 1;
  header.sender = 2;
  const double each = NanosecondsEach(kRedirects, [&](std::size_t i) {
    header.flows.assign(
        1, {NumberedAddress(static_cast<uint32_t>(i)), /*generation=*/1});
    actions.clear();
    core.OnPacket(header, "", now, &actions);
  });
  PrintFigure("registration_ns", each);
  PrintFigure("bytes_per_redirect",
              static_cast<double>(HeapBytes() - before) / kRedirects);
}

}  // namespace

void MeasureBalancerDecisions() {
  PrintFigure("decision_ns", MeasureDecision(kFewTargets, false));
  PrintFigure("decision_ns_cached", MeasureDecision(kFewTargets, true));
  PrintFigure("decision_ns_100_targets", MeasureDecision(100, false));
  PrintFigure("decision_ns_300_targets", MeasureDecision(300, false));
  PrintFigure("decision_ns_1000_targets", MeasureDecision(1000, false));
  PrintFigure("decision_ns_1000_targets_cached", MeasureDecision(1000, true));
}

void MeasureAgentDecisions() {
  MeasureHeldFlows();
  MeasureRedirects();
}

}  // namespace cardamomroute::load
