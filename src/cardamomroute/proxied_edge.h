#ifndef CARDAMOMROUTE_CARDAMOMROUTE_PROXIED_EDGE_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_PROXIED_EDGE_H_

#include "base/metric_recorder.h"
#include "base/settings.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/fabric_edge.h"
#include "cardamomroute/udp_socket.h"

namespace cardamomroute {

class event_loop;

/// One socket; each datagram bears both addresses in a PROXY protocol header.
class proxied_edge : public fabric_edge {
 public:
  /// `loop` and `recorder` outlive the edge. Datagrams without a readable
  /// header are counted there and dropped.
  proxied_edge(const balancer_settings& configured, event_loop* loop,
               metric_recorder* recorder, receiver on_datagram);

  result<void> Open() override;
  void OnChange(const view_change& change) override;
  void Send(const endpoint& service, const endpoint& caller,
            absl::Span<const uint8_t> payload) override;
  void Flush() override;
  endpoint address() const override { return socket_.Local(); }

 private:
  void Receive();

  const balancer_settings settings_;
  event_loop* const loop_;
  metric_recorder* const recorder_;
  const receiver on_datagram_;
  udp_socket socket_;
  datagram_batch received_;
  datagram_batch sent_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_PROXIED_EDGE_H_
