#ifndef CARDAMOMROUTE_ROUTING_FLOW_WORLD_TEST_SUPPORT_H_
#define CARDAMOMROUTE_ROUTING_FLOW_WORLD_TEST_SUPPORT_H_

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "routing/balancer_core.h"
#include "routing/flow_core.h"
#include "routing/flow_truths_test_support.h"
#include "routing/simulated_events_test_support.h"
#include "routing/world_counts_test_support.h"
#include "view/view.h"

namespace cardamomroute {

/// How the fake network treats messages.
struct world_options {
  uint64_t seed = 1;
  double loss = 0;
  double duplication = 0;
  absl::Duration max_delay = absl::Milliseconds(5);
  absl::Duration max_view_delay = absl::Milliseconds(500);
  int balancers = 2;
  /// Bytes that each flow's state has beside its list of packets.
  std::size_t state_bytes = 0;
};

/// Balancer and flow cores joined by a bag of messages that loses, repeats
/// and reorders them, with a list of views in place of the control state.
/// The state of a flow is the list of the packets that were delivered to it.
class flow_world {
 public:
  explicit flow_world(const world_options& options);
  ~flow_world();

  /// Announces a target; it takes the lowest free address. Returns its id.
  target_id Join(service_id service, const std::string& zone);
  void Drain(target_id id);
  /// The target is gone at once, and from the view `until_removed` later.
  void Crash(target_id id, absl::Duration until_removed);
  /// Replaces a balancer by one that knows nothing.
  void RestartBalancer(int index);
  /// One packet of a caller, through a balancer chosen at random.
  void Send(uint16_t caller, service_id service);
  /// The holder drops the flow.
  void Close(uint16_t caller, service_id service);
  void RunFor(absl::Duration duration);
  /// From here on the network loses and repeats nothing.
  void Calm();

  /// Sends a packet of each flow seen so far, waits, and returns how many
  /// were neither delivered nor refused.
  uint64_t CountUndecided();

  /// Targets that are neither draining nor crashed.
  std::vector<target_id> Serving(service_id service) const;
  /// Targets that were told to drain and have not handed everything over.
  std::size_t CountDraining() const;
  /// Targets that are not crashed.
  std::vector<target_id> Present(service_id service) const;
  const world_counts& counts() const { return counts_; }
  uint64_t LiveFlows() const { return truths_.size(); }
  absl::flat_hash_map<target_id, std::size_t> FlowsByTarget() const;

 private:
  struct agent {
    target_id id = 0;
    service_id service = 0;
    endpoint address;
    bool is_draining = false;
    bool is_retired = false;
    std::unique_ptr<flow_core> core;
    absl::flat_hash_map<endpoint, flow_state> states;
  };
  struct fake_balancer {
    view known;
    std::unique_ptr<balancer_core> core;
  };

  absl::Time now() const { return events_.now(); }
  absl::Duration RandomDelay(absl::Duration most);
  bool Chance(double probability);
  void Publish(view next);
  void RemoveFromView(target_id id);
  void Retire(target_id id);
  void TickAgent(target_id id);
  void PullAgent(target_id id);
  void TickBalancer(int index);
  void PullBalancer(int index);
  void Transmit(const endpoint& to, const packet_header& header,
                const std::string& payload);
  void Carry(target_id id, flow_actions* actions);
  void CarryOne(agent* from, flow_action* action);
  void OnDeliver(agent* at, const flow_action& action);
  void AnswerThroughBalancers(const agent& at, const packet_header& header);
  void OnExport(agent* at, const flow_action& action);
  void OnImport(agent* at, const flow_action& action);
  void OnAbandon(agent* at, const flow_action& action);
  /// The balancer's view, when it sent the packet, had this target no more.
  bool HadLeftWhenSent(uint64_t serial, target_id id) const;

  void OnSend(agent* from, const flow_action& action);
  agent* FindAgent(target_id id);

  world_options options_;
  std::mt19937_64 random_;
  simulated_events events_{absl::FromUnixSeconds(1'800'000'000)};
  std::vector<view> views_;
  target_id last_id_ = 0;
  absl::btree_map<target_id, std::unique_ptr<agent>> agents_;
  absl::btree_map<endpoint, target_id> by_address_;
  std::vector<fake_balancer> balancers_;
  absl::btree_map<flow_key, bool> known_flows_;
  uint64_t last_serial_ = 0;
  absl::btree_map<uint64_t, bool> decided_;
  /// Versions of the balancer's view, by serial, and of the first view that
  /// lacks a target.
  absl::btree_map<uint64_t, uint64_t> sent_under_;
  absl::btree_map<target_id, uint64_t> left_in_;
  world_counts counts_;
  flow_truths truths_{&counts_};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_FLOW_WORLD_TEST_SUPPORT_H_
