// Measures the packet path of opaque flows: processor time that a packet takes
// at a balancer and at an agent, without and with the sockets around it, while
// many flows are open.
#include <cstdio>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "base/metric_recorder.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/udp_socket.h"
#include "directory/known_upstream.h"
#include "flows/agent_outlet.h"
#include "flows/balancer_outlet.h"
#include "flows/flow_agent.h"
#include "flows/flow_balancer.h"
#include "flows/route_set.h"
#include "inner/configuration.pb.h"
#include "load/run_time.h"

namespace cardamomroute::load {
namespace {

constexpr size_t kFlows = 100000;
constexpr size_t kUpstreams = 64;
constexpr size_t kPackets = 2000000;
// The longest data of a packet on the platform, and its head.
constexpr size_t kPacketBytes = 1232;
constexpr char kService[] = "measured";
constexpr size_t kDatagramsACall = 64;

const ipv4_address kHost{0xC6120001, 443};
const ipv4_address kBalancer{0x0A010001, 7720};

flow_packet PacketOf(size_t number) {
  flow_packet packet;
  packet.source = {static_cast<uint32_t>(0x64400000 + number / 50000),
                   static_cast<uint16_t>(1024 + number % 50000)};
  packet.destination = kHost;
  return packet;
}

/// Encodes what goes to agents, as the process does, and drops it.
class counting_outlet : public balancer_outlet, public agent_outlet {
 public:
  void SendToAgent(const ipv4_address& agent,
                   const inner::flow_datagram& datagram) override {
    last_agent_ = agent;
    Encode(datagram);
  }
  void SendToBalancer(const ipv4_address& /*balancer*/,
                      const inner::flow_datagram& datagram) override {
    Encode(datagram);
  }
  void SendToUpstream(absl::Span<const uint8_t> bytes,
                      uint32_t /*mark*/) override {
    encoded_.assign(bytes.begin(), bytes.end());
    ++sent_;
  }
  void SendToCaller(const flow_id& /*flow*/,
                    absl::Span<const uint8_t> bytes) override {
    encoded_.assign(bytes.begin(), bytes.end());
    ++sent_;
  }
  void ResetFlow(const flow_id& /*flow*/, uint32_t /*sequence*/) override {
    ++resets_;
  }

  const ipv4_address& last_agent() const { return last_agent_; }
  const std::vector<uint8_t>& encoded() const { return encoded_; }
  size_t sent() const { return sent_; }
  size_t resets() const { return resets_; }

 private:
  void Encode(const inner::flow_datagram& datagram) {
    encoded_.resize(datagram.ByteSizeLong());
    datagram.SerializeWithCachedSizesToArray(encoded_.data());
    ++sent_;
  }

  ipv4_address last_agent_;
  std::vector<uint8_t> encoded_;
  size_t sent_ = 0;
  size_t resets_ = 0;
};

double MicrosecondsEach(size_t times, const std::function<void(size_t)>& work) {
  const absl::Duration before = ThreadTime();
  for (size_t i = 0; i < times; ++i) {
    work(i);
  }
  return absl::ToDoubleMicroseconds(ThreadTime() - before) /
         static_cast<double>(times);
}

std::vector<known_upstream> Upstreams() {
  std::vector<known_upstream> known(kUpstreams);
  for (size_t i = 0; i < kUpstreams; ++i) {
    known[i].agent = {static_cast<uint32_t>(0x0A020001 + i), 7720};
    known[i].service = kService;
    known[i].state = upstream_state::kServing;
    known[i].slots = 4;
  }
  return known;
}

std::shared_ptr<const route_set> Routes() {
  inner::route_list list;
  inner::route_record* route = list.add_routes();
  route->set_name("measured");
  route->set_host(kHost.ip);
  route->set_port(kHost.port);
  inner::route_share* share = route->add_shares();
  share->set_service(kService);
  share->set_weight(1);
  return std::make_shared<const route_set>(1, list);
}

// A step that is coprime to the number of flows, so that packets of one flow
// are far apart.
size_t FlowOf(size_t packet) { return packet * 7919 % kFlows; }

struct hop_figures {
  double opening_us = 0;
  double data_us = 0;
  size_t faults = 0;
};

hop_figures MeasureBalancer(const std::vector<uint8_t>& bytes) {
  counting_outlet outlet;
  metric_recorder measured(process_role::kBalancer);
  flow_balancer balancer(&outlet, &measured);
  balancer.OnRoutes(Routes());
  balancer.OnUpstreams(Upstreams());
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  balancer.OnSettled(now, now);
  hop_figures figures;
  inner::flow_notice notice;
  notice.set_host_ip(kHost.ip);
  notice.set_host_port(kHost.port);
  notice.mutable_load()->set_slots(4);
  figures.opening_us = MicrosecondsEach(kFlows, [&](size_t i) {
    flow_packet packet = PacketOf(i);
    packet.opening = true;
    balancer.OnCallerPacket(packet, bytes, now);
    notice.set_caller_ip(packet.source.ip);
    notice.set_caller_port(packet.source.port);
    balancer.OnNotice(outlet.last_agent(), notice, now);
  });
  figures.data_us = MicrosecondsEach(kPackets, [&](size_t i) {
    balancer.OnCallerPacket(PacketOf(FlowOf(i)), bytes, now);
  });
  figures.faults = kFlows + kPackets - outlet.sent() + outlet.resets() +
                   (kFlows - balancer.cached_flows());
  return figures;
}

hop_figures MeasureAgent(const std::vector<uint8_t>& bytes) {
  counting_outlet outlet;
  metric_recorder measured(process_role::kAgent);
  flow_agent agent(HashOfService(kService), 1, &outlet, &measured);
  // Room for all, so that no opening waits.
  agent.OnUpstream(upstream_state::kServing, kFlows, true);
  const absl::Time now = absl::UnixEpoch() + absl::Hours(1);
  inner::flow_datagram message;
  inner::carried_packet* carried = message.mutable_carried();
  carried->set_service(HashOfService(kService));
  carried->set_packet(bytes.data(), bytes.size());
  std::vector<uint8_t> encoded(message.ByteSizeLong());
  message.SerializeWithCachedSizesToArray(encoded.data());
  const auto receive = [&](const flow_packet& packet) {
    message.ParseFromArray(encoded.data(), static_cast<int>(encoded.size()));
    agent.OnCarried(kBalancer, message.carried(), packet, now);
  };
  hop_figures figures;
  figures.opening_us = MicrosecondsEach(kFlows, [&](size_t i) {
    flow_packet packet = PacketOf(i);
    packet.opening = true;
    receive(packet);
    flow_packet answer;
    answer.source = kHost;
    answer.destination = packet.source;
    answer.opening = true;
    answer.acknowledges = true;
    agent.OnUpstreamPacket(answer, bytes, now);
  });
  // Half of the packets go each way.
  figures.data_us = MicrosecondsEach(kPackets, [&](size_t i) {
    flow_packet packet = PacketOf(FlowOf(i / 2));
    packet.acknowledges = true;
    packet.acknowledged = 1;
    if (i % 2 == 0) {
      receive(packet);
    } else {
      std::swap(packet.source, packet.destination);
      agent.OnUpstreamPacket(packet, bytes, now);
    }
  });
  figures.faults = kFlows - agent.held_flows() + outlet.resets();
  // An opening is delivered, answered and noticed.
  figures.faults += 3 * kFlows + kPackets - outlet.sent();
  return figures;
}

// One datagram through two sockets, many in a call, as the process moves them.
double MeasureSockets(size_t bytes) {
  const endpoint loopback = ParseEndpoint("127.0.0.1:0").value();
  udp_socket from = udp_socket::Bind(loopback).value();
  udp_socket to = udp_socket::Bind(loopback).value();
  datagram_batch out(kDatagramsACall);
  datagram_batch in(kDatagramsACall);
  const size_t calls = kPackets / kDatagramsACall / 10;
  size_t received = 0;
  const absl::Duration before = ThreadTime();
  for (size_t i = 0; i < calls; ++i) {
    while (!out.full()) {
      out.Add(to.Local())->assign(bytes, 'x');
    }
    from.Send(&out);
    received += to.Receive(&in);
  }
  return absl::ToDoubleMicroseconds(ThreadTime() - before) /
         static_cast<double>(received);
}

void Print(const char* hop, const hop_figures& figures) {
  std::printf("%s_opening_us=%.3f\n", hop, figures.opening_us);
  std::printf("%s_packet_us=%.3f\n", hop, figures.data_us);
  std::printf("%s_faults=%zu\n", hop, figures.faults);
}

int Main() {
  const std::vector<uint8_t> bytes(kPacketBytes, 'x');
  const hop_figures balancer = MeasureBalancer(bytes);
  const hop_figures agent = MeasureAgent(bytes);
  const double sockets = MeasureSockets(kPacketBytes);
  std::printf("flows=%zu\n", kFlows);
  std::printf("upstreams=%zu\n", kUpstreams);
  Print("balancer", balancer);
  Print("agent", agent);
  std::printf("sockets_packet_us=%.3f\n", sockets);
  std::printf("balancer_hop_us=%.3f\n", balancer.data_us + sockets);
  std::printf("agent_hop_us=%.3f\n", agent.data_us + sockets);
  return balancer.faults + agent.faults == 0 ? 0 : 1;
}

}  // namespace
}  // namespace cardamomroute::load

int main() { return cardamomroute::load::Main(); }
