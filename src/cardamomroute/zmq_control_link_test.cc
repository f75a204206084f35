#include "cardamomroute/zmq_control_link.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>
#include <utility>
#include <zmq.hpp>

namespace cardamomroute {
namespace {

constexpr absl::Duration kLongEnough = absl::Seconds(20);
constexpr absl::Duration kTooShort = absl::Milliseconds(100);

/// A control VM on a free port of the loopback interface.
class fake_control_vm {
 public:
  fake_control_vm() : socket_(context_, zmq::socket_type::router) {
    socket_.bind("tcp://127.0.0.1:*");
  }

  endpoint Address() const {
    const std::string bound = socket_.get(zmq::sockopt::last_endpoint);
    return ParseEndpoint(bound.substr(bound.find("//") + 2)).value();
  }

  /// Reads one request; sends `answer` for it. Gives back the command.
  std::string AnswerOne(const std::string& answer) {
    zmq::message_t peer;
    zmq::message_t body;
    (void)socket_.recv(peer);
    (void)socket_.recv(body);
    inner::control_request request;
    request.ParseFromArray(body.data(), static_cast<int>(body.size()));
    socket_.send(peer, zmq::send_flags::sndmore);
    socket_.send(zmq::buffer(answer), zmq::send_flags::none);
    return request.operation().command();
  }

 private:
  zmq::context_t context_{1};
  zmq::socket_t socket_;
};

inner::operator_request Status() {
  inner::operator_request request;
  request.set_command("status");
  return request;
}

/// Asks a control VM that gives back these bytes.
result<inner::operator_answer> AskFor(const std::string& bytes) {
  fake_control_vm control;
  zmq_control_link link;
  std::string command;
  std::thread answering([&] { command = control.AnswerOne(bytes); });
  auto given = link.Ask(control.Address(), Status(), link.Now() + kLongEnough);
  answering.join();
  BOOST_TEST(command == "status");
  return given;
}

BOOST_AUTO_TEST_CASE(GivesBackTheAnswer) {
  inner::control_answer answer;
  answer.mutable_operation()->set_code("ok");
  answer.mutable_operation()->set_version(7);
  BOOST_TEST(AskFor(answer.SerializeAsString()).value().version() == 7U);
}

BOOST_AUTO_TEST_CASE(AnAnswerThatCannotBeReadIsMalformed) {
  for (const char* bytes : {"\xff\xff\xff", ""}) {
    BOOST_TEST((AskFor(bytes).error().kind == error_kind::kMalformedMessage));
  }
}

BOOST_AUTO_TEST_CASE(TellsUndeliveredFromUnanswered) {
  zmq_control_link link;
  endpoint nobody;
  {
    const fake_control_vm silent;
    nobody = silent.Address();
    const auto lost =
        link.Ask(silent.Address(), Status(), link.Now() + kTooShort);
    BOOST_TEST((lost.error().kind == error_kind::kOutcomeUnknown));
  }
  const auto refused = link.Ask(nobody, Status(), link.Now() + kTooShort);
  BOOST_TEST((refused.error().kind == error_kind::kUnreachable));
}

}  // namespace
}  // namespace cardamomroute
