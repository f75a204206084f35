#include "cardamomroute/zmq_control_link.h"

#include <absl/time/clock.h>

#include <string>

#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

/// Longest wait for a connection.
constexpr int kConnectTimeoutMs = 500;

/// Longest wait for an answer.
constexpr int kAnswerTimeoutMs = 60000;

result<inner::operator_answer> Exchange(zmq::socket_t& socket,
                                        const std::string& place,
                                        const std::string& request,
                                        absl::Time deadline) {
  // Nothing is queued before there is a connection: a send that fails has
  // certainly not been delivered.
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::ipv6, true);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::sndtimeo,
             MillisecondsUntil(deadline, SteadyNow(), kConnectTimeoutMs));
  socket.connect("tcp://" + place);
  if (!socket.send(zmq::buffer(request), zmq::send_flags::none)) {
    return error{error_kind::kUnreachable, place, "no connection"};
  }
  socket.set(zmq::sockopt::rcvtimeo,
             MillisecondsUntil(deadline, SteadyNow(), kAnswerTimeoutMs));
  zmq::message_t body;
  if (!socket.recv(body)) {
    return error{error_kind::kOutcomeUnknown, place, "no answer in time"};
  }
  inner::control_answer answer;
  if (!answer.ParseFromArray(body.data(), static_cast<int>(body.size())) ||
      !answer.has_operation()) {
    return error{error_kind::kMalformedMessage, place, "unreadable answer"};
  }
  return answer.operation();
}

}  // namespace

result<inner::operator_answer> zmq_control_link::Ask(
    const endpoint& control, const inner::operator_request& request,
    absl::Time deadline) {
  inner::control_request envelope;
  *envelope.mutable_operation() = request;
  const std::string place = ToString(control);
  try {
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    return Exchange(socket, place, envelope.SerializeAsString(), deadline);
  } catch (const zmq::error_t& failure) {
    return error{error_kind::kOutcomeUnknown, place, failure.what()};
  }
}

absl::Time zmq_control_link::Now() { return SteadyNow(); }

void zmq_control_link::Pause(absl::Duration length) { absl::SleepFor(length); }

}  // namespace cardamomroute
