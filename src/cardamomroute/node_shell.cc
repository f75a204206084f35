#include "cardamomroute/node_shell.h"

#include <algorithm>
#include <memory>
#include <thread>
#include <vector>

#include "absl/time/clock.h"
#include "cardamomroute/agent_worker.h"
#include "cardamomroute/balancer_worker.h"
#include "cardamomroute/control_shell.h"
#include "cardamomroute/node_client.h"
#include "cardamomroute/steady_time.h"
#include "cardamomroute/stop_signal.h"
#include "control/registry_core.h"
#include "view/node_lease.h"

namespace cardamomroute {
namespace {

// A balancer that is leaving ends once the fabric was silent for this long.
constexpr absl::Duration kQuietBeforeEnd = absl::Seconds(1);
constexpr absl::Duration kLongestLeaving = absl::Seconds(30);
constexpr absl::Duration kLongestDrain = absl::Minutes(2);
// How much longer the end of a node behind relays takes to reach all others:
// up to control and down again.
constexpr absl::Duration kRelayDelay = absl::Seconds(4);
constexpr absl::Duration kLeavingStep = absl::Milliseconds(50);

// Rises from start to start: a lower one belongs to an earlier process.
uint64_t NewIncarnation() {
  return static_cast<uint64_t>(absl::ToUnixMicros(absl::Now()));
}

inner::pull_request AnnounceBalancer(const settings& configured) {
  inner::pull_request announcement;
  announcement.set_node_name(configured.name);
  announcement.set_incarnation(NewIncarnation());
  inner::balancer_record* record = announcement.mutable_announced_balancer();
  record->set_zone(configured.zone);
  record->set_inner(ToString(configured.balancer.inner));
  return announcement;
}

inner::pull_request AnnounceAgent(const settings& configured) {
  inner::pull_request announcement;
  announcement.set_node_name(configured.name);
  announcement.set_incarnation(NewIncarnation());
  announcement.set_announced_service(configured.agent.service);
  inner::target_record* record = announcement.mutable_announced_target();
  record->set_zone(configured.zone);
  record->set_agent(ToString(configured.agent.inner));
  record->set_slots(configured.agent.slots);
  return announcement;
}

void WaitUntilQuiet(
    const std::vector<std::unique_ptr<balancer_worker>>& workers) {
  const absl::Time latest_end = SteadyNow() + kLongestLeaving;
  absl::Time quiet_since = SteadyNow();
  while (SteadyNow() < std::min(latest_end, quiet_since + kQuietBeforeEnd)) {
    absl::SleepFor(kLeavingStep);
    for (const auto& worker : workers) {
      quiet_since = std::max(quiet_since, worker->last_packet());
    }
  }
}

void WaitUntilDrained(const agent_worker& worker) {
  const absl::Time latest_end = SteadyNow() + kLongestDrain;
  while (!worker.drained() && SteadyNow() < latest_end) {
    absl::SleepFor(kLeavingStep);
  }
}

/// Waits for a stop signal, or until operators have drained the target.
void WaitForStopOrDrain(const agent_worker& worker) {
  while (!worker.drained()) {
    if (WaitForStopSignal(SteadyNow() + kLeavingStep)) {
      return;
    }
  }
}

}  // namespace

result<void> RunBalancer(const settings& configured) {
  BlockStopSignals();
  node_client* client_seen = nullptr;
  std::vector<std::unique_ptr<balancer_worker>> workers;
  std::vector<node_mailbox*> mailboxes;
  std::vector<const metrics*> measured;
  for (uint32_t i = 0; i < configured.balancer.traffic_threads; ++i) {
    workers.push_back(std::make_unique<balancer_worker>(
        configured, [&client_seen] { client_seen->PullNow(); }));
    BOOST_OUTCOME_TRY(workers.back()->Open());
    mailboxes.push_back(workers.back()->mailbox());
    measured.push_back(&workers.back()->measured());
  }
  node_client client(configured.balancer.control, AnnounceBalancer(configured),
                     mailboxes, measured);
  BOOST_OUTCOME_TRY(client.Open(configured.balancer.inner));
  client_seen = &client;
  std::vector<std::thread> threads;
  threads.reserve(workers.size());
  for (const auto& worker : workers) {
    threads.emplace_back([&worker] { worker->Run(); });
  }
  client.Start();
  WaitForStopSignal();
  client.Leave();
  WaitUntilQuiet(workers);
  for (size_t i = 0; i < workers.size(); ++i) {
    workers[i]->Stop();
    threads[i].join();
  }
  client.Stop();
  return boost::outcome_v2::success();
}

result<void> RunAgent(const settings& configured) {
  BlockStopSignals();
  node_client* client_seen = nullptr;
  agent_requests requests;
  requests.pull_now = [&client_seen] { client_seen->PullNow(); };
  requests.announce_anew = [&client_seen] {
    client_seen->AnnounceAnew(NewIncarnation());
  };
  agent_worker worker(configured, std::move(requests));
  BOOST_OUTCOME_TRY(worker.Open());
  node_client client(configured.agent.control, AnnounceAgent(configured),
                     {worker.mailbox()}, {&worker.measured()});
  BOOST_OUTCOME_TRY(client.Open(configured.agent.inner));
  client_seen = &client;
  std::thread traffic([&worker] { worker.Run(); });
  client.Start();
  WaitForStopOrDrain(worker);
  const bool drained_by_operators = worker.drained();
  client.Leave();
  worker.Drain();
  WaitUntilDrained(worker);
  // Once it is silent it leaves the view; until the leases on older views have
  // run out, packets may still come and are forwarded.
  client.Stop();
  absl::SleepFor(control::kRegistryLease + kNodeLease +
                 (client.IsRelayed() ? kRelayDelay : absl::ZeroDuration()));
  if (drained_by_operators) {
    WaitForStopSignal();
  }
  worker.Stop();
  traffic.join();
  return boost::outcome_v2::success();
}

result<void> RunControl(const settings& configured) {
  BlockStopSignals();
  control_shell shell(configured);
  result<void> outcome = boost::outcome_v2::success();
  std::thread control([&] { outcome = shell.Run(); });
  WaitForStopSignal();
  shell.Stop();
  control.join();
  return outcome;
}

}  // namespace cardamomroute
