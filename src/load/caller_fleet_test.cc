// What stand-in callers take for the answer to a request.
#include "load/caller_fleet.h"

#include <poll.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "base/bytes.h"
#include "base/concat.h"
#include "caller/coap_message.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/udp_socket.h"

namespace cardamomroute::load {
namespace {

constexpr int kPollMs = 10;

/// Answers uploads. Each one after the first hears, at its first block, that it
/// is not known whether the upload before it ran.
class late_server {
 public:
  late_server()
      : socket_(
            udp_socket::Bind(ParseEndpoint("127.0.0.1:0").value()).value()) {
    thread_ = std::thread([this] { Run(); });
  }
  late_server(const late_server&) = delete;
  late_server& operator=(const late_server&) = delete;
  ~late_server() {
    stopped_ = true;
    thread_.join();
  }

  endpoint Address() const { return socket_.Local(); }
  /// Late answers that were sent.
  int late_answers() const { return late_answers_; }

 private:
  void Run() {
    while (!stopped_) {
      pollfd readable{socket_.fd(), POLLIN, 0};
      poll(&readable, 1, kPollMs);
      socket_.Receive(&received_);
      for (size_t i = 0; i < received_.size(); ++i) {
        OnDatagram(received_.Remote(i), AsText(received_.Bytes(i)));
      }
    }
  }

  void OnDatagram(const endpoint& caller, std::string_view datagram) {
    const auto request = ParseCoap(datagram);
    if (request.has_error() || !IsRequest(request.value())) {
      return;
    }
    const coap_message& asked = request.value();
    const auto block = FindBlock(asked, option_number::kBlock1);
    if (block->number == 0 && !last_token_.empty()) {
      ++late_answers_;
      Send(caller, {message_type::kNonConfirmable,
                    kGatewayTimeoutCode,
                    ++last_id_,
                    last_token_,
                    {},
                    ""});
    }
    coap_message answer{message_type::kAcknowledgement,
                        block->more ? kContinueCode : kChangedCode,
                        asked.id,
                        asked.token,
                        {},
                        ""};
    SetOption(&answer, option_number::kBlock1, EncodeBlock(*block));
    if (!block->more) {
      last_token_ = asked.token;
      answer.payload = Concat(OptionValue(asked, option_number::kUriQuery),
                              " service=desk ");
    }
    Send(caller, answer);
  }

  void Send(const endpoint& caller, const coap_message& message) {
    socket_.SendTo(caller, AsBytes(SerializeCoap(message)));
  }

  udp_socket socket_;
  datagram_batch received_{16};
  std::string last_token_;
  uint16_t last_id_ = 0;
  std::atomic<int> late_answers_{0};
  std::atomic<bool> stopped_{false};
  std::thread thread_;
};

// Guards against a late answer to one upload being counted as the outcome of
// the next, which was seen as "run elsewhere without an answer". libcoap has
// tokens of its own for blocks and passes them on once the upload has ended.
BOOST_AUTO_TEST_CASE(ALateAnswerIsNotTakenForThatOfTheNextRequest) {
  late_server server;
  caller_plan plan;
  plan.service_address = server.Address();
  plan.service_name = "desk";
  plan.script = FindScript("upload");
  plan.path = "covers";
  plan.sessions = 1;
  plan.requests_per_second = 20;
  plan.seconds = 0.4;
  caller_fleet callers(plan);
  BOOST_REQUIRE(callers.Open());
  callers.Run();
  const auto report = nlohmann::json::parse(callers.counts().ToJson());
  BOOST_TEST(report["answered"].get<int>() >= 2);
  BOOST_TEST(report["unknown"].get<int>() == 0);
  BOOST_TEST(report["lost"].get<int>() == 0);
  BOOST_TEST(server.late_answers() >= 1);
}

}  // namespace
}  // namespace cardamomroute::load
