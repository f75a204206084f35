#include "cardamomroute/proxied_edge.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "cardamomroute/event_loop.h"
#include "fabric/proxy_header.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 64;

}  // namespace

proxied_edge::proxied_edge(const balancer_settings& configured,
                           event_loop* loop, metric_recorder* recorder,
                           receiver on_datagram)
    : settings_(configured),
      loop_(loop),
      recorder_(recorder),
      on_datagram_(std::move(on_datagram)),
      received_(kBatch),
      sent_(kBatch) {}

result<void> proxied_edge::Open() {
  const bool shared = settings_.traffic_threads > 1;
  BOOST_OUTCOME_TRY(opened, udp_socket::Bind(settings_.edge_listen, shared));
  socket_ = std::move(opened);
  loop_->Watch(socket_.fd(), [this] { Receive(); });
  return boost::outcome_v2::success();
}

void proxied_edge::OnChange(const view_change& /*change*/) {}

void proxied_edge::Receive() {
  socket_.Receive(&received_);
  for (size_t i = 0; i < received_.size(); ++i) {
    const auto datagram = received_.Bytes(i);
    const auto header = fabric::ReadProxyHeader(datagram);
    if (!header.has_value()) {
      recorder_->Add(metric::kHeadersMalformed);
      continue;
    }
    on_datagram_(header.value().destination, header.value().source,
                 datagram.subspan(header.value().length));
  }
}

void proxied_edge::Send(const endpoint& service, const endpoint& caller,
                        absl::Span<const uint8_t> payload) {
  if (sent_.full()) {
    Flush();
  }
  std::vector<uint8_t>* out = sent_.Add(settings_.edge_return);
  out->resize(fabric::kLongestProxyHeader + payload.size());
  const size_t header_bytes =
      fabric::WriteProxyHeader(service, caller, out->data());
  std::copy(payload.begin(), payload.end(), out->begin() + header_bytes);
  out->resize(header_bytes + payload.size());
}

void proxied_edge::Flush() { socket_.Send(&sent_); }

}  // namespace cardamomroute
