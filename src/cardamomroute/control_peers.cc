#include "cardamomroute/control_peers.h"

#include <utility>

#include "base/log.h"
#include "cardamomroute/control_answers.h"

namespace cardamomroute {
namespace {

// Links at most; a link to a VM that has gone stays until then.
constexpr size_t kMaxLinks = 32;
constexpr int kQueuedMessages = 1000;
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 1500;
// A connection that is not there by then is tried anew: its first packet may
// have been lost, and the kernel repeats that after seconds only.
constexpr int kConnectTimeoutMs = 400;
constexpr int kReconnectMs = 50;
constexpr int kLongestReconnectMs = 500;

}  // namespace

control_peers::control_peers(zmq::context_t* context, zmq::socket_t* listening)
    : context_(context), listening_(listening) {}

zmq::socket_t& control_peers::LinkTo(const std::string& address) {
  const auto found = links_.find(address);
  if (found != links_.end()) {
    return found->second;
  }
  if (links_.size() >= kMaxLinks) {
    links_.erase(links_.begin());
  }
  zmq::socket_t link(*context_, zmq::socket_type::dealer);
  link.set(zmq::sockopt::linger, 0);
  // No queue for a VM that is away: it would get old messages first.
  link.set(zmq::sockopt::immediate, true);
  link.set(zmq::sockopt::ipv6, true);
  link.set(zmq::sockopt::sndhwm, kQueuedMessages);
  link.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  link.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  link.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  link.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  link.set(zmq::sockopt::reconnect_ivl_max, kLongestReconnectMs);
  link.connect("tcp://" + address);
  return links_.emplace(address, std::move(link)).first->second;
}

void control_peers::SendToPeer(const std::string& address,
                               const inner::control_request& request) {
  try {
    LinkTo(address).send(zmq::buffer(request.SerializeAsString()),
                         zmq::send_flags::dontwait);
  } catch (const zmq::error_t& failure) {
    log_line(log_level::kWarn, "peer_unreachable")
        .With("address", address)
        .With("reason", failure.what());
  }
}

void control_peers::Answer(const std::string& client,
                           const inner::control_answer& answer) {
  SendAnswer(client, answer, listening_);
}

}  // namespace cardamomroute
