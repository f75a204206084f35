#ifndef CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_WORKER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_WORKER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "absl/time/time.h"
#include "base/metric_recorder.h"
#include "base/result.h"
#include "base/settings.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/fabric_edge.h"
#include "cardamomroute/node_mailbox.h"
#include "cardamomroute/udp_socket.h"
#include "inner/packet.pb.h"
#include "requests/refusal_writer.h"
#include "routing/balancer_core.h"

namespace cardamomroute {

/// A traffic thread of a balancer: moves datagrams between the fabric and the
/// agents as the core decides.
class balancer_worker {
 public:
  /// `pull_now` asks the control thread for a newer view.
  balancer_worker(const settings& configured, std::function<void()> pull_now);

  /// Opens the sockets. Fails with kIoFailed.
  result<void> Open();

  /// Works until Stop.
  void Run();
  void Stop() { loop_.Stop(); }

  node_mailbox* mailbox() { return &mailbox_; }

  /// Where the sockets are bound, once open.
  endpoint edge_address() const { return edge_->address(); }
  endpoint inner_address() const { return inner_.Local(); }

  /// Flows whose holder is known; only while Run is not under way.
  size_t cached_flows() const { return core_.cached_flows(); }

  /// What this thread measures; any thread may read it.
  const metrics& measured() const { return recorder_.registry(); }

  /// When a datagram of the fabric came last; any thread may ask.
  absl::Time last_packet() const;

 private:
  void TakeNodeEvents();
  void ForwardOne(const endpoint& service, const endpoint& caller,
                  absl::Span<const uint8_t> payload);
  void Refuse(const balancer_decision& decision, const endpoint& service,
              absl::Span<const uint8_t> request);
  void LogDecision(const balancer_decision& decision) const;
  void CountDecision(const balancer_decision& decision);
  void ReceiveFromAgents();
  bool ReturnOne(size_t index);
  void SendToAgents();
  absl::Time Flush();

  const settings settings_;
  const std::function<void()> pull_now_;
  metric_recorder recorder_{process_role::kBalancer};
  event_loop loop_;
  node_mailbox mailbox_;
  balancer_core core_;
  refusal_writer refusals_;
  std::unique_ptr<fabric_edge> edge_;
  udp_socket inner_;
  datagram_batch from_agents_;
  datagram_batch to_agents_;
  inner::packet_header message_;
  std::atomic<int64_t> last_packet_ns_{0};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_BALANCER_WORKER_H_
