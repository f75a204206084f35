#ifndef CARDAMOMROUTE_CARDAMOMROUTE_COAP_CARRIER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_COAP_CARRIER_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "base/endpoint.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/flow_carrier.h"
#include "cardamomroute/request_times.h"
#include "cardamomroute/udp_socket.h"
#include "requests/request_action.h"
#include "requests/request_core.h"

namespace cardamomroute {

class event_loop;
struct agent_settings;

/// Carries the requests of a CoAP service: the sockets around a request_core.
class coap_carrier : public flow_carrier {
 public:
  /// `own_id` is the target's id, `slots` what its upstream can run at the
  /// same time. `loop`, `host` and `recorder`, an agent's, outlive the carrier.
  coap_carrier(target_id own_id, uint32_t slots,
               const agent_settings& configured, event_loop* loop,
               carrier_host* host, metric_recorder* recorder);
  ~coap_carrier() override;

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
  void Perform(const request_actions& actions);
  void Do(const send_to_caller& action);
  void Do(const send_to_upstream& action);
  void Do(const open_leg& action);
  void Do(const close_leg& action);
  void Do(const flow_idle& action);
  void Do(const flow_closed& action);
  void Do(const forward_to_holder& action);
  void Do(const request_decision& action);
  void Receive(leg_id leg);

  const target_id own_id_;
  const endpoint upstream_;
  event_loop* const loop_;
  carrier_host* const host_;
  request_core core_;
  request_times times_;
  absl::flat_hash_map<leg_id, udp_socket> legs_;
  datagram_batch received_;
  /// Targets of the service that took flows in the last view.
  std::vector<target_id> serving_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_COAP_CARRIER_H_
