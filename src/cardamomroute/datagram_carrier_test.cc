#include "cardamomroute/datagram_carrier.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "cardamomroute/event_loop.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kSilence = absl::Seconds(15);
constexpr absl::Duration kLongest = absl::Seconds(90);

class recording_host : public carrier_host {
 public:
  void SendToCaller(const flow_key& /*flow*/,
                    std::string_view /*datagram*/) override {}
  void FlowIdle(const flow_key& /*flow*/) override {}
  void FlowClosed(const flow_key& flow) override {
    RC_ASSERT(closed.insert(flow).second);
  }
  void ForwardToHolder(const flow_key& /*flow*/, target_id /*holder*/,
                       std::string_view /*datagram*/) override {}

  std::set<flow_key> closed;
};

flow_key FlowNumber(uint16_t number) {
  flow_key flow;
  flow.caller = ParseEndpoint("192.0.2.1:1000").value();
  flow.caller.port = static_cast<uint16_t>(flow.caller.port + number);
  flow.service = 1;
  return flow;
}

/// A flow ends once it is silent or at the deadline of the drain, and is never
/// handed to another target before.
RC_BOOST_PROP(ADrainWaitsForEachFlow, ()) {
  event_loop loop;
  recording_host host;
  const udp_socket upstream =
      udp_socket::Bind(ParseEndpoint("127.0.0.1:0").value()).value();
  datagram_carrier carrier(upstream.Local(), &loop, &host);
  absl::Time now = absl::UnixEpoch();
  const flow_key talking = FlowNumber(0);
  const flow_key silent = FlowNumber(1);
  carrier.OnCallerDatagram(talking, "x", now);
  carrier.OnCallerDatagram(silent, "x", now);
  now += absl::Seconds(*rc::gen::inRange(0, 280));
  carrier.BeginDrain(now);
  const absl::Time begun = now;
  absl::Time ends_at = begun + kSilence;
  const auto gaps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 14));
  for (const int gap : gaps) {
    now += absl::Seconds(gap);
    RC_ASSERT(carrier.OnTick(now) > now);
    const bool is_open = now < begun + kLongest;
    RC_ASSERT((host.closed.count(talking) == 0) == is_open);
    if (!is_open) {
      break;
    }
    RC_ASSERT((host.closed.count(silent) == 0) == (now < begun + kSilence));
    RC_ASSERT(!carrier.ExportFlow(talking, now).has_value());
    carrier.OnCallerDatagram(talking, "x", now);
    ends_at = std::min(now + kSilence, begun + kLongest);
  }
  carrier.OnTick(std::max(now, ends_at) + absl::Seconds(1));
  RC_ASSERT(host.closed.size() == 2U);
  RC_ASSERT(carrier.ExportFlow(talking, now) == "");
}

}  // namespace
}  // namespace cardamomroute
