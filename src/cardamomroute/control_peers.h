#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_PEERS_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_PEERS_H_

#include <map>
#include <string>
#include <zmq.hpp>

#include "cardamomroute/control_outlet.h"

namespace cardamomroute {

/// Sends a control member's messages over ZeroMQ: one connection a control VM,
/// and answers through the socket that listens. What cannot go out at once is
/// dropped: everything here is repeated by its sender.
class control_peers : public control_outlet {
 public:
  /// Both outlive this object.
  control_peers(zmq::context_t* context, zmq::socket_t* listening);

  void SendToPeer(const std::string& address,
                  const inner::control_request& request) override;
  void Answer(const std::string& client,
              const inner::control_answer& answer) override;

 private:
  zmq::socket_t& LinkTo(const std::string& address);

  zmq::context_t* context_;
  zmq::socket_t* listening_;
  std::map<std::string, zmq::socket_t> links_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_PEERS_H_
