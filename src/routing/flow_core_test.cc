#include "routing/flow_core.h"

#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "routing/flow_world_test_support.h"
#include "routing/placement_strategy.h"

namespace cardamomroute {
namespace {

enum class step_kind : uint8_t {
  kTraffic,
  kJoin,
  kDrain,
  kClose,
  kRestartBalancer,
  kCrash,
  kReplace,
};

struct step {
  step_kind kind = step_kind::kTraffic;
  uint32_t choice = 0;
  uint32_t wait_ms = 0;
};

constexpr uint16_t kCallers = 12;
const std::vector<std::string> kZones = {"hakata", "kokura", "kurume"};

void showValue(const step& item, std::ostream& os) {
  os << static_cast<int>(item.kind) << '/' << item.choice << '/'
     << item.wait_ms;
}

rc::Gen<std::vector<step>> Steps(bool with_crashes) {
  using rc::gen::element;
  const auto kinds =
      with_crashes
          ? element(step_kind::kTraffic, step_kind::kTraffic, step_kind::kJoin,
                    step_kind::kDrain, step_kind::kClose, step_kind::kCrash,
                    step_kind::kReplace, step_kind::kRestartBalancer)
          : element(step_kind::kTraffic, step_kind::kTraffic, step_kind::kJoin,
                    step_kind::kDrain, step_kind::kClose,
                    step_kind::kRestartBalancer);
  return rc::gen::container<std::vector<step>>(rc::gen::build<step>(
      rc::gen::set(&step::kind, kinds),
      rc::gen::set(&step::choice, rc::gen::inRange<uint32_t>(0, 1000)),
      rc::gen::set(&step::wait_ms, rc::gen::inRange<uint32_t>(0, 900))));
}

void Traffic(flow_world* world, uint32_t choice) {
  for (uint16_t i = 0; i < kCallers; ++i) {
    const auto caller = static_cast<uint16_t>(1 + (choice + i) % kCallers);
    world->Send(caller, 1);
    if (i % 3 == 0) {
      world->Send(caller, 2);
    }
  }
}

/// Crashes a target, draining or not, while another one serves.
void CrashOne(flow_world* world, service_id service, uint32_t choice) {
  const std::vector<target_id> present = world->Present(service);
  const target_id chosen = present[choice % present.size()];
  const std::vector<target_id> serving = world->Serving(service);
  if (serving != std::vector<target_id>{chosen}) {
    world->Crash(chosen, absl::Milliseconds(choice * 2));
  }
}

void Run(flow_world* world, const step& item) {
  const service_id service = item.choice % 5 == 0 ? 2 : 1;
  const std::vector<target_id> serving = world->Serving(service);
  const bool can_leave = serving.size() > 1;
  switch (item.kind) {
    case step_kind::kTraffic:
      Traffic(world, item.choice);
      break;
    case step_kind::kJoin:
      world->Join(service, kZones[item.choice % kZones.size()]);
      break;
    case step_kind::kDrain:
      if (can_leave) {
        world->Drain(serving[item.choice % serving.size()]);
      }
      break;
    case step_kind::kClose:
      world->Close(static_cast<uint16_t>(1 + item.choice % kCallers), service);
      break;
    case step_kind::kRestartBalancer:
      world->RestartBalancer(static_cast<int>(item.choice % 2));
      break;
    case step_kind::kCrash:
      CrashOne(world, service, item.choice);
      break;
    case step_kind::kReplace:
      CrashOne(world, service, item.choice);
      world->Join(service, kZones[item.choice % kZones.size()]);
      break;
  }
  world->RunFor(absl::Milliseconds(item.wait_ms));
  Traffic(world, item.choice);
}

void RunAll(flow_world* world, const std::vector<step>& steps) {
  for (uint32_t i = 0; i < 5; ++i) {
    world->Join(i < 3 ? 1 : 2, kZones[i % kZones.size()]);
  }
  world->RunFor(absl::Seconds(2));
  Traffic(world, 0);
  for (const step& item : steps) {
    Run(world, item);
  }
  world->Calm();
  world->RunFor(absl::Seconds(16));
}

world_options Options(uint64_t seed) {
  world_options options;
  options.seed = seed;
  options.loss = static_cast<double>(seed % 4) * 0.1;
  options.duplication = static_cast<double>(seed / 4 % 4) * 0.1;
  options.max_delay = absl::Milliseconds(seed % 3 == 0 ? 200 : 10);
  options.max_view_delay = absl::Milliseconds(seed % 2 == 0 ? 900 : 100);
  // One piece, some, and more than the window and than one datagram holds.
  options.state_bytes =
      std::array<std::size_t, 4>{0, 5'000, 20'000, 70'000}[seed / 16 % 4];
  return options;
}

/// One target alone in a view of version 5.
class lone_core {
 public:
  lone_core() {
    service item;
    item.id = 1;
    target own;
    own.id = 7;
    own.service = 1;
    view current;
    current.version = 5;
    current.services = {item};
    current.targets = {own};
    core_.OnView(current, now_, &actions_);
    core_.OnCurrentVersion(5, now_);
  }

  flow_action Receive(uint16_t caller, service_id service) {
    packet_header header;
    header.flow.caller.port = caller;
    header.flow.service = service;
    header.view_version = 5;
    header.receiver = 7;
    actions_.clear();
    core_.OnPacket(header, "", now_, &actions_);
    return actions_.at(0);
  }

  void Wait(absl::Duration duration) { now_ += duration; }
  flow_core* core() { return &core_; }
  absl::Time now() const { return now_; }

 private:
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  flow_actions actions_;
  flow_core core_{7, 1, &HomeOnlyPlacement()};
};

BOOST_AUTO_TEST_CASE(without_a_lease_it_keeps_flows_and_takes_none) {
  lone_core lone;
  BOOST_TEST(lone.Receive(1, 1).is_new);
  lone.Wait(kNodeLease);
  BOOST_TEST((lone.Receive(1, 1).kind == flow_action_kind::kDeliver));
  const flow_action refused = lone.Receive(2, 1);
  BOOST_TEST((refused.kind == flow_action_kind::kRefuse));
  BOOST_TEST((refused.error == error_kind::kStaleView));
  lone.core()->OnCurrentVersion(5, lone.now());
  BOOST_TEST(lone.Receive(2, 1).is_new);
}

BOOST_AUTO_TEST_CASE(draining_it_keeps_flows_and_takes_none) {
  lone_core lone;
  BOOST_TEST(lone.Receive(1, 1).is_new);
  lone.core()->BeginDrain();
  BOOST_TEST((lone.Receive(1, 1).kind == flow_action_kind::kDeliver));
  const flow_action refused = lone.Receive(2, 1);
  BOOST_TEST((refused.kind == flow_action_kind::kRefuse));
  BOOST_TEST((refused.error == error_kind::kDraining));
}

BOOST_AUTO_TEST_CASE(packets_of_another_service_are_dropped) {
  lone_core lone;
  BOOST_TEST((lone.Receive(1, 2).kind == flow_action_kind::kDrop));
  BOOST_TEST(!lone.core()->IsHeld(endpoint{}));
}

RC_BOOST_PROP(planned_changes_break_no_flow, ()) {
  const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
  flow_world world(Options(seed));
  RunAll(&world, *Steps(/*with_crashes=*/false));
  RC_ASSERT(world.counts().broken == 0U);
  RC_ASSERT(world.counts().misdelivered == 0U);
  RC_ASSERT(world.counts().oversized == 0U);
  RC_ASSERT(world.counts().delivered > 0U);
  RC_ASSERT(world.CountDraining() == 0U);
  RC_ASSERT(world.CountUndecided() == 0U);
  RC_ASSERT(world.counts().broken == 0U);
}

RC_BOOST_PROP(crashes_lose_only_the_flows_of_the_crashed, ()) {
  const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
  flow_world world(Options(seed));
  RunAll(&world, *Steps(/*with_crashes=*/true));
  RC_ASSERT(world.counts().broken == 0U);
  RC_ASSERT(world.counts().misdelivered == 0U);
  RC_ASSERT(world.counts().oversized == 0U);
  RC_ASSERT(world.CountUndecided() == 0U);
  RC_ASSERT(world.counts().broken == 0U);
}

}  // namespace
}  // namespace cardamomroute
