#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_CLIENT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "base/endpoint.h"
#include "base/result.h"
#include "cardamomroute/node_event.h"
#include "cardamomroute/node_listener.h"
#include "cardamomroute/relay_node.h"
#include "cardamomroute/wake_signal.h"
#include "inner/node.pb.h"

namespace zmq {
class context_t;
class socket_t;
}  // namespace zmq

namespace cardamomroute {

class metrics;
class node_mailbox;

/// The control thread of a balancer or agent: announces the node, pulls what
/// changed in the view, passes it to the traffic threads, and answers requests
/// to the node, those of nodes that pull from it among them.
class node_client {
 public:
  /// `announcement` is what control is told of the node, `measured` what the
  /// traffic threads measure. The mailboxes and metrics outlive the client.
  node_client(std::vector<endpoint> control, inner::pull_request announcement,
              std::vector<node_mailbox*> mailboxes,
              std::vector<const metrics*> measured = {});
  node_client(const node_client&) = delete;
  node_client& operator=(const node_client&) = delete;
  ~node_client();

  /// Opens the listener. Fails with kIoFailed.
  result<void> Open(const endpoint& inner);

  /// Where requests to this node come in; its handlers are called by the
  /// control thread. Before Start only.
  node_listener* listener() { return &listener_; }

  void Start();

  /// Says from now on that this node is leaving; called from any thread.
  void Leave();

  /// Announces the node as a new incarnation from now on; any thread.
  void AnnounceAnew(uint64_t incarnation);

  /// Pulls at once instead of at the next interval; any thread.
  void PullNow();

  /// Ends the thread.
  void Stop();

  /// True where the node pulled from another node. After Stop only.
  bool IsRelayed() const { return node_.IsRelayed(); }

 private:
  /// A connection to a control VM or a node.
  struct connection {
    endpoint to;
    std::unique_ptr<zmq::socket_t> socket;
    /// Requests since the last answer.
    uint32_t unanswered = 0;
  };

  void Run();
  /// Takes over what other threads have asked for.
  void TakeOrders();
  void SendDue();
  void Send(const relay_pull& pull, connection* link);
  /// Until a message comes, something is due or somebody wakes the thread.
  void Wait();
  void TakePullAnswers();
  void TakeAnnouncementAnswers();
  std::optional<inner::pull_answer> NextAnswer(connection* link);
  void PassOn(const std::optional<node_event>& event);

  const std::vector<node_mailbox*> mailboxes_;
  const std::vector<const metrics*> measured_;
  relay_node node_;
  std::atomic<bool> stopped_{false};
  std::atomic<bool> pull_now_{false};
  std::atomic<bool> leaving_{false};
  /// 0 while there is no new one.
  std::atomic<uint64_t> incarnation_{0};
  wake_signal wake_;
  std::unique_ptr<zmq::context_t> context_;
  connection parent_;
  /// To control, while there is something to tell it past a relay.
  connection direct_;
  node_listener listener_;
  std::thread thread_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_CLIENT_H_
