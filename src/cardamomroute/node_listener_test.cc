#include "cardamomroute/node_listener.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <thread>
#include <zmq.hpp>

#include "cardamomroute/node_client.h"
#include "cardamomroute/zmq_control_link.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kLongEnough = absl::Seconds(20);
constexpr int kLongEnoughMs = 20000;

endpoint AnyPort() { return ParseEndpoint("127.0.0.1:0").value(); }

inner::control_answer PullAnswer(uint64_t version) {
  inner::control_answer answer;
  answer.mutable_pull()->set_present_version(version);
  return answer;
}

/// A listener that answers pulls with the version asked for, served by a
/// thread of its own while `body` runs.
void WithListener(const std::function<void(const endpoint&)>& body) {
  zmq::context_t context(1);
  node_listener listener(&context);
  listener.Handle(inner::control_request::kPull,
                  [](const inner::control_request& request) {
                    return PullAnswer(request.pull().have_version());
                  });
  BOOST_TEST_REQUIRE(listener.Open(AnyPort()).has_value());
  wake_signal stop;
  std::thread serving([&] {
    while (true) {
      std::array<zmq::pollitem_t, 2> items = {
          {{nullptr, stop.fd(), ZMQ_POLLIN, 0},
           {listener.PollHandle(), 0, ZMQ_POLLIN, 0}}};
      zmq::poll(items.data(), items.size());
      listener.TakeRequests();
      if (items[0].revents != 0) {
        return;
      }
    }
  });
  body(listener.Address());
  stop.Raise();
  serving.join();
}

/// One connection of a child or operator.
class asker {
 public:
  explicit asker(const endpoint& node) {
    socket_.set(zmq::sockopt::linger, 0);
    socket_.set(zmq::sockopt::rcvtimeo, kLongEnoughMs);
    socket_.connect("tcp://" + ToString(node));
  }

  inner::control_answer Ask(const std::string& bytes) {
    socket_.send(zmq::buffer(bytes), zmq::send_flags::none);
    zmq::message_t body;
    inner::control_answer answer;
    BOOST_TEST_REQUIRE(socket_.recv(body).has_value());
    answer.ParseFromArray(body.data(), static_cast<int>(body.size()));
    return answer;
  }

 private:
  zmq::context_t context_{1};
  zmq::socket_t socket_{context_, zmq::socket_type::dealer};
};

BOOST_AUTO_TEST_CASE(EachKindOfRequestHasItsHandler) {
  WithListener([](const endpoint& node) {
    asker child(node);
    inner::control_request request;
    request.mutable_pull()->set_have_version(7);
    const auto answer = child.Ask(request.SerializeAsString());
    BOOST_TEST(answer.pull().present_version() == 7U);
  });
}

BOOST_AUTO_TEST_CASE(OtherBytesAreAnsweredAsMalformed) {
  WithListener([](const endpoint& node) {
    inner::control_request raft;
    raft.mutable_raft()->set_term(1);
    asker other(node);
    for (const std::string& bytes :
         {raft.SerializeAsString(), std::string("\xff\xff\xff"), std::string(),
          std::string(1 << 16, 'x')}) {
      BOOST_TEST(other.Ask(bytes).operation().code() ==
                 CodeOf(error_kind::kMalformedMessage));
    }
  });
}

BOOST_AUTO_TEST_CASE(ALongMessageEndsItsConnection) {
  WithListener([](const endpoint& node) {
    zmq::context_t context(1);
    zmq::socket_t flooding(context, zmq::socket_type::dealer);
    flooding.set(zmq::sockopt::linger, 0);
    zmq_socket_monitor(flooding.handle(), "inproc://watch",
                       ZMQ_EVENT_DISCONNECTED);
    zmq::socket_t watch(context, zmq::socket_type::pair);
    watch.set(zmq::sockopt::linger, 0);
    watch.set(zmq::sockopt::rcvtimeo, kLongEnoughMs);
    watch.connect("inproc://watch");
    flooding.connect("tcp://" + ToString(node));
    inner::control_request request;
    request.mutable_pull()->set_node_name(std::string(1 << 21, 'x'));
    flooding.send(zmq::buffer(request.SerializeAsString()),
                  zmq::send_flags::none);
    zmq::message_t event;
    BOOST_TEST(watch.recv(event).has_value());
    zmq_socket_monitor(flooding.handle(), nullptr, 0);
    request.mutable_pull()->set_node_name("short");
    asker other(node);
    BOOST_TEST(other.Ask(request.SerializeAsString()).has_pull());
  });
}

BOOST_AUTO_TEST_CASE(NodesAnswerStatusThoughControlIsAway) {
  inner::pull_request announcement;
  announcement.set_node_name("b1");
  announcement.set_incarnation(42);
  announcement.mutable_announced_balancer()->set_zone("z1");
  node_client client({ParseEndpoint("127.0.0.1:9").value()}, announcement, {});
  BOOST_TEST_REQUIRE(client.Open(AnyPort()).has_value());
  const endpoint node = client.listener()->Address();
  client.Start();
  zmq_control_link link;
  inner::operator_request status;
  status.set_command("status");
  const auto given = link.Ask(node, status, link.Now() + kLongEnough);
  BOOST_TEST_REQUIRE(given.has_value());
  BOOST_TEST(given.value().code() == "ok");
  BOOST_TEST(
      given.value().status_json() ==
      R"({"role":"balancer","name":"b1","view_version":0,"whole_view":true,)"
      R"("incarnation":42,"metrics":{"counters":{},"gauges":{},)"
      R"("latencies":{}}})");
  status.set_command("drain");
  const auto refused = link.Ask(node, status, link.Now() + kLongEnough);
  BOOST_TEST(refused.value().code() == CodeOf(error_kind::kUsage));
}

BOOST_AUTO_TEST_CASE(AnAddressInUseIsSaid) {
  zmq::context_t context(1);
  node_listener first(&context);
  node_listener second(&context);
  BOOST_TEST_REQUIRE(first.Open(AnyPort()).has_value());
  const auto refused = second.Open(first.Address());
  BOOST_TEST((refused.error().kind == error_kind::kIoFailed));
}

}  // namespace
}  // namespace cardamomroute
