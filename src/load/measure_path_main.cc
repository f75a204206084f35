// Measures the traffic thread of a balancer: packets per second of processor
// time, beside a plain relay on the same sockets, and its memory.
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "absl/time/clock.h"
#include "base/settings.h"
#include "cardamomroute/balancer_worker.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"
#include "cardamomroute/udp_socket.h"
#include "fabric/proxy_header.h"
#include "inner/packet_codec.h"
#include "load/run_time.h"
#include "routing/packet_codec.h"

namespace cardamomroute::load {
namespace {

constexpr size_t kBatch = 64;
constexpr size_t kPayloadBytes = 100;
constexpr absl::Duration kMeasuredTime = absl::Seconds(4);
constexpr size_t kFlows = 300000;
constexpr size_t kTargets = 7;
constexpr service_id kService = 1;
constexpr absl::Duration kDrainPause = absl::Milliseconds(300);

endpoint Loopback(uint16_t port) {
  endpoint value = ParseEndpoint("127.0.0.1:0").value();
  value.port = port;
  return value;
}

endpoint CallerNumber(size_t number) {
  endpoint value = ParseEndpoint("10.0.0.0:0").value();
  value.ip[13] = static_cast<uint8_t>(number >> 16);
  value.ip[14] = static_cast<uint8_t>(number >> 8);
  value.ip[15] = static_cast<uint8_t>(number);
  value.port = 40000;
  return value;
}

const endpoint& ServiceAddress() {
  static const endpoint kAddress = ParseEndpoint("192.0.2.1:5683").value();
  return kAddress;
}

view_change SmallView(const endpoint& agent) {
  view_change change;
  change.to_version = 1;
  service measured;
  measured.id = kService;
  measured.name = "measured";
  measured.address = ServiceAddress();
  change.services.push_back(measured);
  for (size_t i = 0; i < kTargets; ++i) {
    target added;
    added.id = i + 1;
    added.service = kService;
    added.zone = std::string(1, static_cast<char>('a' + i % 4));
    added.agent = agent;
    change.targets.push_back(added);
  }
  return change;
}

double ResidentMegabytes() {
  std::ifstream file("/proc/self/statm");
  size_t total = 0;
  size_t resident = 0;
  file >> total >> resident;
  return static_cast<double>(resident) *
         static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
}

/// Counts and discards all that arrives on a socket.
class sink {
 public:
  sink() : socket_(udp_socket::Bind(Loopback(0)).value()), batch_(kBatch) {
    loop_.Watch(socket_.fd(),
                [this] { received_.fetch_add(socket_.Receive(&batch_)); });
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~sink() {
    loop_.Stop();
    thread_.join();
  }
  endpoint address() const { return socket_.Local(); }
  uint64_t received() const { return received_.load(); }

 private:
  udp_socket socket_;
  datagram_batch batch_;
  event_loop loop_;
  std::atomic<uint64_t> received_{0};
  std::thread thread_;
};

using datagram_maker = std::function<void(size_t, std::vector<uint8_t>*)>;

/// Sends as fast as the socket takes it, until the deadline.
void Flood(const endpoint& to, const datagram_maker& make, absl::Time until) {
  udp_socket socket = udp_socket::Bind(Loopback(0)).value();
  datagram_batch batch(kBatch);
  size_t number = 0;
  while (SteadyNow() < until) {
    while (!batch.full()) {
      make(number++, batch.Add(to));
    }
    socket.Send(&batch);
  }
}

void MakeFromFabric(size_t number, std::vector<uint8_t>* out) {
  out->resize(fabric::kLongestProxyHeader);
  out->resize(fabric::WriteProxyHeader(CallerNumber(number % kFlows),
                                       ServiceAddress(), out->data()));
  out->resize(out->size() + kPayloadBytes, 'x');
}

/// Packets per second of processor time: what `work` moved to `arrived` while
/// the flood ran.
double RatePerCore(const sink& arrived, const endpoint& edge,
                   const datagram_maker& make,
                   const std::function<void()>& work,
                   const std::function<void()>& stop) {
  absl::Duration used;
  std::thread worker([&] {
    work();
    used = ThreadTime();
  });
  const uint64_t before = arrived.received();
  Flood(edge, make, SteadyNow() + kMeasuredTime);
  absl::SleepFor(kDrainPause);
  stop();
  worker.join();
  return static_cast<double>(arrived.received() - before) /
         absl::ToDoubleSeconds(used);
}

double MeasureRelay() {
  sink arrived;
  udp_socket edge = udp_socket::Bind(Loopback(0)).value();
  udp_socket inner = udp_socket::Bind(Loopback(0)).value();
  datagram_batch in(kBatch);
  datagram_batch out(kBatch);
  event_loop loop;
  loop.Watch(edge.fd(), [&] {
    edge.Receive(&in);
    for (size_t i = 0; i < in.size(); ++i) {
      const auto bytes = in.Bytes(i);
      out.Add(arrived.address())->assign(bytes.begin(), bytes.end());
    }
    inner.Send(&out);
  });
  return RatePerCore(
      arrived, edge.Local(), MakeFromFabric, [&] { loop.Run(); },
      [&] { loop.Stop(); });
}

settings WorkerSettings(const endpoint& fabric_return) {
  settings configured;
  configured.name = "measured";
  configured.balancer.edge_listen = Loopback(0);
  configured.balancer.inner = Loopback(0);
  configured.balancer.edge_return = fabric_return;
  return configured;
}

void GiveView(balancer_worker* worker, const endpoint& agent) {
  node_event event;
  event.change = std::make_shared<view_change>(SmallView(agent));
  event.current_version = 1;
  // The lease must outlast the measurement.
  event.asked_at = SteadyNow() + absl::Hours(1);
  worker->mailbox()->Put(event);
}

double MeasureBalancer(balancer_worker* worker, const sink& agents) {
  return RatePerCore(
      agents, worker->edge_address(), MakeFromFabric,
      [worker] { worker->Run(); }, [worker] { worker->Stop(); });
}

void MakeAnswer(size_t number, std::vector<uint8_t>* out) {
  static const std::vector<uint8_t> kPayload(kPayloadBytes, 'x');
  packet_header header;
  header.kind = packet_kind::kToCaller;
  header.flow = {CallerNumber(number % kFlows), kService};
  header.view_version = 1;
  header.holder = 1 + number % kTargets;
  header.sender = header.holder;
  inner::packet_header message;
  EncodeHeader(header, &message);
  inner::EncodePacket(message, kPayload, out);
}

void Main() {
  const double direct = MeasureRelay();
  sink agents;
  sink callers;
  const settings configured = WorkerSettings(callers.address());
  balancer_worker forward(configured, [] {});
  forward.Open().value();
  GiveView(&forward, agents.address());
  const double to_agents = MeasureBalancer(&forward, agents);
  balancer_worker back(configured, [] {});
  back.Open().value();
  GiveView(&back, agents.address());
  const double to_callers = RatePerCore(
      callers, back.inner_address(), MakeAnswer, [&back] { back.Run(); },
      [&back] { back.Stop(); });
  std::printf("direct_packets_per_second_per_core=%.0f\n", direct);
  std::printf("packets_per_second_per_core=%.0f\n", to_agents);
  std::printf("answers_per_second_per_core=%.0f\n", to_callers);
  std::printf("balancer_cached_flows=%zu\n", back.cached_flows());
  std::printf("balancer_rss_mb=%.1f\n", ResidentMegabytes());
}

}  // namespace
}  // namespace cardamomroute::load

int main() {
  cardamomroute::load::Main();
  return 0;
}
