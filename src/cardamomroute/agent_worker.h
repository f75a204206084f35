#ifndef CARDAMOMROUTE_CARDAMOMROUTE_AGENT_WORKER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_AGENT_WORKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/metric_recorder.h"
#include "base/result.h"
#include "base/settings.h"
#include "cardamomroute/balancer_choice.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/flow_carrier.h"
#include "cardamomroute/node_mailbox.h"
#include "cardamomroute/report_leg.h"
#include "cardamomroute/udp_socket.h"
#include "inner/packet.pb.h"
#include "requests/refusal_writer.h"
#include "routing/flow_action.h"
#include "routing/flow_core.h"
#include "view/view.h"

namespace cardamomroute {

/// What the traffic thread of an agent asks of the control thread.
struct agent_requests {
  /// Pull a newer view at once.
  std::function<void()> pull_now;
  /// Announce the target anew, as a new incarnation.
  std::function<void()> announce_anew;
};

/// The traffic thread of an agent: takes packets from balancers and other
/// agents and carries the flows that it holds to its upstream.
class agent_worker : public carrier_host {
 public:
  agent_worker(const settings& configured, agent_requests requests);
  ~agent_worker() override;

  /// Opens the sockets. Fails with kIoFailed.
  result<void> Open();
  void Run() { loop_.Run(); }
  void Stop() { loop_.Stop(); }
  node_mailbox* mailbox() { return &mailbox_; }

  /// Takes no new work from now on and hands flows over; any thread.
  void Drain();

  /// What this thread measures; any thread may read it.
  const metrics& measured() const { return recorder_.registry(); }

  /// True once nothing depends on this agent any more; any thread.
  bool drained() const { return drained_.load(); }

  void SendToCaller(const flow_key& flow, std::string_view datagram) override;
  void FlowIdle(const flow_key& flow) override;
  void FlowClosed(const flow_key& flow) override;
  void ForwardToHolder(const flow_key& flow, target_id holder,
                       std::string_view datagram) override;

 private:
  using performer = void (agent_worker::*)(flow_action*);
  static performer PerformerOf(flow_action_kind kind);

  void Receive();
  bool TakePacket(size_t index, absl::Time now);
  void TakePassedOn(const packet_header& header, std::string_view datagram,
                    absl::Time now);
  void TakeNodeEvents();
  void TakeView();
  void Join(const target& own, const service& own_service);
  void Reset();
  void PerformAll();
  void Deliver(flow_action* action);
  void SendToAgent(flow_action* action);
  void Refuse(flow_action* action);
  void Export(flow_action* action);
  void Import(flow_action* action);
  void Abandon(flow_action* action);
  void PullNow(flow_action* action);
  void AnnounceAnew(flow_action* action);
  void LogOnly(flow_action* action);
  void CountAction(const flow_action& action);
  void LogAction(const flow_action& action) const;
  packet_header MakeHeader(packet_kind kind, const flow_key& flow) const;
  void Send(const packet_header& header, std::string_view payload,
            const endpoint& to);
  void StartDrainIfAsked(absl::Time now);
  void TakeLoad(absl::Time now);
  absl::Time Tick();

  const settings settings_;
  const agent_requests requests_;
  metric_recorder recorder_{process_role::kAgent};
  event_loop loop_;
  node_mailbox mailbox_;
  view view_;
  target_id own_id_ = 0;
  udp_socket inner_;
  datagram_batch received_;
  datagram_batch sent_;
  inner::packet_header message_;
  balancer_choice balancers_;
  std::unique_ptr<flow_core> flows_;
  std::unique_ptr<flow_carrier> carrier_;
  refusal_writer refusals_;
  /// Null when the upstream is not asked for reports.
  std::unique_ptr<report_leg> reports_;
  flow_actions actions_;
  bool draining_ = false;
  /// The view no longer has this target.
  bool removed_ = false;
  std::atomic<bool> drain_asked_{false};
  std::atomic<bool> drained_{false};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_AGENT_WORKER_H_
