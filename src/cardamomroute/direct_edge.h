#ifndef CARDAMOMROUTE_CARDAMOMROUTE_DIRECT_EDGE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_DIRECT_EDGE_H_

#include <cstddef>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/fabric_edge.h"
#include "cardamomroute/udp_socket.h"
#include "view/view.h"

namespace cardamomroute {

class event_loop;

/// The services' addresses are the VM's own: a socket for each.
class direct_edge : public fabric_edge {
 public:
  /// With `shared_ports` several threads may serve the same addresses. `loop`
  /// outlives the edge.
  direct_edge(bool shared_ports, event_loop* loop, receiver on_datagram);
  ~direct_edge() override;

  result<void> Open() override;
  void OnChange(const view_change& change) override;
  void Send(const endpoint& service, const endpoint& caller,
            absl::Span<const uint8_t> payload) override;
  void Flush() override;
  endpoint address() const override { return {}; }

 private:
  struct service_socket {
    endpoint address;
    udp_socket socket;
  };

  void OpenService(service_id id, const endpoint& address);
  void CloseService(service_id id);
  void CloseAll();
  void Receive(service_id id);

  const bool shared_ports_;
  event_loop* const loop_;
  const receiver on_datagram_;
  absl::node_hash_map<service_id, service_socket> services_;
  absl::flat_hash_map<endpoint, udp_socket*> by_address_;
  datagram_batch received_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_DIRECT_EDGE_H_
