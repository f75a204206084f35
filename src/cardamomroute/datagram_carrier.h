#ifndef CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_CARRIER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_CARRIER_H_

#include <optional>
#include <string>
#include <string_view>

#include "absl/container/node_hash_map.h"
#include "base/endpoint.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/flow_carrier.h"
#include "cardamomroute/udp_socket.h"

namespace cardamomroute {

class event_loop;

/// Carries opaque datagrams: each flow has a socket of its own towards the
/// upstream, so that the upstream tells flows apart by their source port. What
/// the upstream knows of a flow cannot be moved: when it drains, each flow goes
/// on until it falls silent or the deadline of the drain has come.
class datagram_carrier : public flow_carrier {
 public:
  /// Both outlive the carrier.
  datagram_carrier(const endpoint& upstream, event_loop* loop,
                   carrier_host* host);

  void OnView(const view& current, const service& own) override;
  void OnLease(absl::Time valid_until) override;
  void OnCallerDatagram(const flow_key& flow, std::string_view datagram,
                        absl::Time now) override;
  void OnPassedOn(const flow_key& flow, std::string_view datagram,
                  absl::Time now) override;
  absl::Time OnTick(absl::Time now) override;
  carrier_load Load() const override;
  void BeginDrain(absl::Time now) override;
  std::optional<std::string> ExportFlow(const flow_key& flow,
                                        absl::Time now) override;
  void ImportFlow(const flow_key& flow, std::string_view state,
                  absl::Time now) override;
  void DropFlow(const flow_key& flow, absl::Time now) override;

 private:
  struct leg {
    udp_socket socket;
    absl::Time idle_deadline;
  };

  absl::Time IdleDeadline(absl::Time now) const;
  leg* FindOrOpen(const flow_key& flow, absl::Time now);
  void Receive(const flow_key& flow);
  void Close(const flow_key& flow);

  const endpoint upstream_;
  event_loop* const loop_;
  carrier_host* const host_;
  absl::node_hash_map<flow_key, leg> legs_;
  datagram_batch received_;
  absl::Time next_sweep_ = absl::InfinitePast();
  /// When flows end at the latest; InfiniteFuture while it does not drain.
  absl::Time drain_deadline_ = absl::InfiniteFuture();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_DATAGRAM_CARRIER_H_
