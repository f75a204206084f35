#ifndef CARDAMOMROUTE_CARDAMOMROUTE_ZMQ_CONTROL_LINK_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_ZMQ_CONTROL_LINK_H_

#include <zmq.hpp>

#include "operators/control_link.h"

namespace cardamomroute {

/// Asks control VMs over ZeroMQ, on a connection of its own for each request,
/// so that a late answer is never taken for that of another request.
class zmq_control_link : public control_link {
 public:
  result<inner::operator_answer> Ask(const endpoint& control,
                                     const inner::operator_request& request,
                                     absl::Time deadline) override;
  absl::Time Now() override;
  void Pause(absl::Duration length) override;

 private:
  zmq::context_t context_{1};
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_ZMQ_CONTROL_LINK_H_
