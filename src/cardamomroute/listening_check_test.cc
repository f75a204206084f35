#include "cardamomroute/listening_check.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <optional>

#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

/// A TCP port of the loopback address that is bound, and listens on demand.
class bound_port {
 public:
  bound_port() : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in own{};
    own.sin_family = AF_INET;
    own.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(
        bind(fd_, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) == 0);
    socklen_t length = sizeof(own);
    BOOST_REQUIRE(
        getsockname(fd_, reinterpret_cast<sockaddr*>(&own), &length) == 0);
    address_ = ParseEndpoint("127.0.0.1:0").value();
    address_.port = ntohs(own.sin_port);
  }
  bound_port(const bound_port&) = delete;
  bound_port& operator=(const bound_port&) = delete;
  ~bound_port() { close(fd_); }

  void Listen() const { BOOST_REQUIRE(listen(fd_, 1) == 0); }
  const endpoint& address() const { return address_; }

 private:
  int fd_;
  endpoint address_;
};

listening_state Check(const endpoint& address) {
  event_loop loop;
  std::optional<listening_state> found;
  listening_check check(&loop, [&](listening_state state) {
    found = state;
    loop.Stop();
  });
  loop.OnTick([&] { return check.Tick(SteadyNow()); });
  check.Begin(address, SteadyNow());
  if (!found) {
    loop.Run();
  }
  return *found;
}

BOOST_AUTO_TEST_CASE(TellsWhetherSomebodyListens) {
  const bound_port port;
  BOOST_TEST((Check(port.address()) == listening_state::kRefuses));
  port.Listen();
  BOOST_TEST((Check(port.address()) == listening_state::kListens));
}

BOOST_AUTO_TEST_CASE(ACheckThatTakesTooLongFindsNothing) {
  const bound_port port;
  port.Listen();
  event_loop loop;
  int found = 0;
  listening_check check(&loop, [&](listening_state state) {
    found += state == listening_state::kUnknown ? 1 : 100;
  });
  // The loop does not run, so nobody sees the connection.
  check.Begin(port.address(), absl::UnixEpoch());
  if (found == 0) {
    const absl::Time late = absl::UnixEpoch() + kListeningPatience;
    BOOST_TEST((check.Tick(absl::UnixEpoch()) == late));
    check.Tick(late);
    BOOST_TEST(found == 1);
  }
}

}  // namespace
}  // namespace cardamomroute
