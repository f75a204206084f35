#include "cardamomroute/proxied_edge.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cardamomroute/event_loop.h"
#include "fabric/proxy_header.h"

namespace cardamomroute {
namespace {

/// A datagram of the fabric with this payload.
std::vector<uint8_t> Headed(const std::string& payload) {
  const endpoint caller = ParseEndpoint("192.0.2.1:1000").value();
  const endpoint service = ParseEndpoint("198.51.100.1:5683").value();
  std::vector<uint8_t> datagram(fabric::kLongestProxyHeader);
  datagram.resize(fabric::WriteProxyHeader(caller, service, datagram.data()));
  datagram.insert(datagram.end(), payload.begin(), payload.end());
  return datagram;
}

uint64_t Malformed(const metric_recorder& recorder) {
  return recorder.registry().Values().counters.at("headers_malformed");
}

/// Each datagram is either passed on or counted as malformed.
RC_BOOST_PROP(DatagramsWithoutAReadableHeaderAreCounted, ()) {
  event_loop loop;
  metric_recorder recorder(process_role::kBalancer);
  balancer_settings configured;
  configured.edge_listen = ParseEndpoint("127.0.0.1:0").value();
  uint64_t passed = 0;
  proxied_edge edge(configured, &loop, &recorder,
                    [&](const endpoint&, const endpoint&,
                        absl::Span<const uint8_t>) { ++passed; });
  RC_ASSERT(edge.Open().has_value());
  udp_socket sender = udp_socket::Connect(edge.address()).value();
  uint64_t good = 0;
  uint64_t bad = 0;
  for (const bool is_good :
       *rc::gen::container<std::vector<bool>>(20, rc::gen::arbitrary<bool>())) {
    std::vector<uint8_t> datagram = Headed("payload");
    if (!is_good) {
      datagram.resize(*rc::gen::inRange<size_t>(1, 28));
    }
    RC_ASSERT(sender.Send(absl::MakeConstSpan(datagram)));
    ++(is_good ? good : bad);
  }
  // The last one; datagrams keep their order here.
  RC_ASSERT(sender.Send(absl::MakeConstSpan(Headed("end"))));
  loop.OnTick([&] {
    if (passed == good + 1) {
      loop.Stop();
    }
    return absl::InfiniteFuture();
  });
  loop.Run();
  RC_ASSERT(Malformed(recorder) == bad);
}

}  // namespace
}  // namespace cardamomroute
