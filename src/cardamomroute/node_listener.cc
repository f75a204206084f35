#include "cardamomroute/node_listener.h"

#include <utility>
#include <zmq.hpp>

#include "base/log.h"
#include "cardamomroute/control_answers.h"

namespace cardamomroute {
namespace {

// A connection that sends a longer message is closed. Leaves room for the
// states of all nodes that a child sums up.
constexpr int64_t kMaxMessageBytes = int64_t{1} << 20;
constexpr int kRequestsPerRound = 256;

error Malformed(std::string_view detail) {
  return {error_kind::kMalformedMessage, "", std::string(detail)};
}

inner::control_answer ToAnswer(const error& failure) {
  inner::control_answer answer;
  *answer.mutable_operation() = RefusalAnswer(failure);
  return answer;
}

}  // namespace

node_listener::node_listener(zmq::context_t* context)
    : socket_(std::make_unique<zmq::socket_t>(*context,
                                              zmq::socket_type::router)) {}

node_listener::~node_listener() = default;

void node_listener::Handle(inner::control_request::BodyCase kind,
                           handler answer) {
  handlers_[kind] = std::move(answer);
}

result<void> node_listener::Open(const endpoint& address) {
  socket_->set(zmq::sockopt::linger, 0);
  socket_->set(zmq::sockopt::ipv6, true);
  socket_->set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  try {
    socket_->bind("tcp://" + ToString(address));
  } catch (const zmq::error_t& failure) {
    return error{error_kind::kIoFailed, ToString(address), failure.what()};
  }
  return boost::outcome_v2::success();
}

endpoint node_listener::Address() const {
  const std::string bound = socket_->get(zmq::sockopt::last_endpoint);
  return ParseEndpoint(bound.substr(bound.find("//") + 2)).value();
}

void* node_listener::PollHandle() const { return socket_->handle(); }

void node_listener::TakeRequests() {
  for (int taken = 0; taken < kRequestsPerRound && TakeOne(); ++taken) {
  }
}

bool node_listener::TakeOne() {
  zmq::message_t client;
  zmq::message_t body;
  if (!socket_->recv(client, zmq::recv_flags::dontwait)) {
    return false;
  }
  // The parts of a message come together; all but the last one are dropped.
  bool more = client.more();
  while (more && socket_->recv(body, zmq::recv_flags::dontwait)) {
    more = body.more();
  }
  const auto answer = AnswerTo(body);
  if (answer.has_error()) {
    log_line(log_level::kWarn, "request_refused")
        .With("reason", Describe(answer.error()));
  }
  SendAnswer(client.to_string_view(),
             answer.has_value() ? answer.value() : ToAnswer(answer.error()),
             socket_.get());
  return true;
}

result<inner::control_answer> node_listener::AnswerTo(
    const zmq::message_t& body) const {
  inner::control_request request;
  if (!request.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
    return Malformed("unreadable request");
  }
  const auto found = handlers_.find(request.body_case());
  if (found == handlers_.end()) {
    return Malformed("this process answers no such request");
  }
  return found->second(request);
}

}  // namespace cardamomroute
