#ifndef CARDAMOMROUTE_FLOWS_FLOW_WORLD_TEST_SUPPORT_H_
#define CARDAMOMROUTE_FLOWS_FLOW_WORLD_TEST_SUPPORT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "flows/agent_outlet.h"
#include "flows/balancer_outlet.h"
#include "flows/flow_agent.h"
#include "flows/flow_balancer.h"

namespace cardamomroute {

/// Callers, balancers, agents and upstreams in one thread, with a network that
/// loses, repeats and reorders, and processes that start again. It counts what
/// must not happen.
class flow_world {
 public:
  struct shape {
    size_t balancers = 3;
    size_t agents = 4;
    /// Agents, the last ones, whose upstreams are of a second service.
    size_t second_service = 1;
    /// Share of the flows that the route gives to the second service, in
    /// percent.
    unsigned second_share = 0;
    /// Share of messages that are lost, and that come late, in percent.
    unsigned loss = 0;
    unsigned late = 0;
  };

  /// The broken promises so far; all 0.
  struct breaches {
    int living_flow_reset = 0;
    int opening_at_wrong_service = 0;
    int opening_while_draining = 0;
    int bytes_changed = 0;
    /// Flows of which kStrayPackets reached other upstreams in kStrayTime or
    /// longer, and none their own.
    int living_flow_astray = 0;
  };

  flow_world(const shape& wanted, uint64_t seed);
  ~flow_world();

  /// A caller opens a flow; returns its number.
  size_t Open();
  /// The caller of a flow sends data through a balancer drawn by lot.
  void Talk(size_t flow);
  /// Balancers send some packets of each flow elsewhere from now on.
  void RestartBalancer(size_t balancer);
  /// The agent forgets all; its upstream goes on.
  void RestartAgent(size_t agent);
  /// The upstream forgets its flows and starts again.
  void RestartUpstream(size_t agent);
  /// The upstream takes no new flows.
  void Drain(size_t agent);
  /// Delivers until nothing is under way, and lets time pass.
  void Settle();
  void SetLoss(unsigned percent) { wanted_.loss = percent; }

  size_t flows() const { return callers_.size(); }
  /// True where the flow is open at an upstream that still holds it.
  bool IsOpen(size_t flow) const;
  /// True where its caller was told that it has ended.
  bool IsReset(size_t flow) const { return callers_.at(flow).reset; }
  /// Data packets of the flow that its upstream has answered.
  int Answered(size_t flow) const { return callers_.at(flow).answered; }
  /// The flow's upstream; only where it is open.
  size_t UpstreamOf(size_t flow) const { return callers_.at(flow).upstream; }

  const breaches& Breaches() const { return breaches_; }
  std::mt19937_64& Random() { return random_; }

 private:
  class balancer_end;
  class agent_end;

  struct caller {
    flow_id flow;
    bool connected = false;
    bool reset = false;
    int answered = 0;
    uint32_t upstream_sequence = 0;
    size_t upstream = 0;
    /// Packets that reached other upstreams since the last one at its own.
    int strays = 0;
    absl::Time first_stray;
  };
  struct half_open {
    uint32_t sequence = 0;
    bool open = false;
  };
  struct upstream {
    size_t service = 0;
    bool draining = false;
    /// The agent has seen it start.
    bool seen_from_start = true;
    std::map<std::string, half_open> held;
  };

  void Post(std::function<void()> deliver);
  void SendFromCaller(size_t flow, const flow_packet& packet, size_t balancer);
  void AtAgent(size_t agent, const ipv4_address& from,
               const inner::flow_datagram& datagram);
  void AtUpstream(size_t agent, const std::vector<uint8_t>& bytes,
                  uint32_t mark);
  void NoteStray(const std::string& flow);
  void AtCaller(const flow_packet& packet);
  void OnReset(const flow_id& flow);
  void Tell();

  shape wanted_;
  std::mt19937_64 random_;
  absl::Time now_ = absl::UnixEpoch();
  std::deque<std::function<void()>> messages_;
  std::vector<std::unique_ptr<balancer_end>> balancers_;
  std::vector<std::unique_ptr<agent_end>> agents_;
  uint32_t agent_runs_ = 0;
  std::vector<upstream> upstreams_;
  std::vector<caller> callers_;
  std::map<std::string, size_t> by_flow_;
  breaches breaches_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_FLOW_WORLD_TEST_SUPPORT_H_
