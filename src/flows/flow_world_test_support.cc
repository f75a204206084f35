#include "flows/flow_world_test_support.h"

#include <cstring>
#include <utility>

#include "base/concat.h"
#include "base/metric_recorder.h"

namespace cardamomroute {
namespace {

constexpr uint32_t kAgentIp = 0x0a000001;
constexpr uint32_t kBalancerIp = 0x0a010001;
constexpr uint16_t kPort = 7720;
constexpr ipv4_address kHost{0xc6120001, 443};

// A packet of the test: its head as it lies in memory.
std::vector<uint8_t> Encode(const flow_packet& packet) {
  std::vector<uint8_t> bytes(sizeof(packet));
  std::memcpy(bytes.data(), &packet, sizeof(packet));
  return bytes;
}

flow_packet Decode(absl::Span<const uint8_t> bytes) {
  flow_packet packet;
  std::memcpy(&packet, bytes.data(), sizeof(packet));
  return packet;
}

flow_packet DecodeText(const std::string& bytes) {
  return Decode({reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
}

std::string ServiceName(size_t service) { return Concat("service-", service); }

// When a flow counts as broken, by the platform's rules: `flow_ms` is 2 s.
constexpr int kStrayPackets = 3;
constexpr absl::Duration kStrayTime = absl::Seconds(2);

inner::route_list Routes(unsigned second_share) {
  inner::route_list list;
  inner::route_record* route = list.add_routes();
  route->set_name("only");
  route->set_host(kHost.ip);
  route->set_port(kHost.port);
  inner::route_share* share = route->add_shares();
  share->set_service(ServiceName(0));
  share->set_weight(100 - second_share);
  if (second_share > 0) {
    share = route->add_shares();
    share->set_service(ServiceName(1));
    share->set_weight(second_share);
  }
  return list;
}

}  // namespace

class flow_world::balancer_end : public balancer_outlet {
 public:
  balancer_end(flow_world* world, size_t index)
      : world_(world), index_(index), core(this, &measured_) {}

  ipv4_address Address() const {
    return {kBalancerIp + static_cast<uint32_t>(index_), kPort};
  }

  void SendToAgent(const ipv4_address& agent,
                   const inner::flow_datagram& datagram) override {
    const size_t to = agent.ip - kAgentIp;
    world_->Post([world = world_, to, from = Address(), datagram] {
      world->AtAgent(to, from, datagram);
    });
  }

  void ResetFlow(const flow_id& flow, uint32_t /*sequence*/) override {
    world_->OnReset(flow);
  }

 private:
  flow_world* const world_;
  const size_t index_;
  metric_recorder measured_{process_role::kBalancer};

 public:
  flow_balancer core;
};

class flow_world::agent_end : public agent_outlet {
 public:
  agent_end(flow_world* world, size_t index)
      : world_(world),
        index_(index),
        core(HashOfService(ServiceName(world->upstreams_.at(index).service)),
             ++world->agent_runs_, this, &measured_) {}

  ipv4_address Address() const {
    return {kAgentIp + static_cast<uint32_t>(index_), kPort};
  }

  void Take(const ipv4_address& from, const inner::flow_datagram& datagram) {
    if (datagram.has_carried()) {
      core.OnCarried(from, datagram.carried(),
                     DecodeText(datagram.carried().packet()), world_->now_);
    } else if (datagram.has_query()) {
      core.OnHolderQuery(from, datagram.query());
    }
  }

  void SendToUpstream(absl::Span<const uint8_t> bytes, uint32_t mark) override {
    world_->AtUpstream(index_, {bytes.begin(), bytes.end()}, mark);
  }

  void SendToCaller(const flow_id& /*flow*/,
                    absl::Span<const uint8_t> bytes) override {
    world_->Post(
        [world = world_, packet = Decode(bytes)] { world->AtCaller(packet); });
  }

  void SendToBalancer(const ipv4_address& balancer,
                      const inner::flow_datagram& datagram) override {
    const size_t to = balancer.ip - kBalancerIp;
    world_->Post([world = world_, to, from = Address(), datagram] {
      flow_balancer& core = world->balancers_.at(to)->core;
      if (datagram.has_returned()) {
        core.OnReturned(from, datagram.returned(),
                        DecodeText(datagram.returned().carried().packet()),
                        world->now_);
      } else if (datagram.has_answer()) {
        core.OnHolderAnswer(from, datagram.answer(), world->now_);
      } else if (datagram.has_notice()) {
        core.OnNotice(from, datagram.notice(), world->now_);
      } else if (datagram.has_load()) {
        core.OnLoad(from, datagram.load());
      }
    });
  }

  void ResetFlow(const flow_id& flow, uint32_t /*sequence*/) override {
    world_->OnReset(flow);
  }

 private:
  flow_world* const world_;
  const size_t index_;
  metric_recorder measured_{process_role::kAgent};

 public:
  flow_agent core;
};

void flow_world::AtAgent(size_t agent, const ipv4_address& from,
                         const inner::flow_datagram& datagram) {
  agents_.at(agent)->Take(from, datagram);
}

// The first agents serve the route, the last ones another service.
flow_world::flow_world(const shape& wanted, uint64_t seed)
    : wanted_(wanted), random_(seed) {
  for (size_t i = 0; i < wanted.agents; ++i) {
    upstreams_.emplace_back().service =
        i + wanted.second_service >= wanted.agents ? 1 : 0;
  }
  for (size_t i = 0; i < wanted.agents; ++i) {
    agents_.push_back(std::make_unique<agent_end>(this, i));
    agents_[i]->core.OnUpstream(upstream_state::kServing, 2, true);
  }
  for (size_t i = 0; i < wanted.balancers; ++i) {
    balancers_.push_back(nullptr);
    RestartBalancer(i);
  }
}

flow_world::~flow_world() = default;

void flow_world::Post(std::function<void()> deliver) {
  if (random_() % 100 < wanted_.loss) {
    return;
  }
  if (random_() % 100 < wanted_.late && !messages_.empty()) {
    messages_.insert(messages_.begin() +
                         static_cast<ptrdiff_t>(random_() % messages_.size()),
                     std::move(deliver));
  } else {
    messages_.push_back(std::move(deliver));
  }
}

void flow_world::Settle() {
  // Messages cross at the same time.
  constexpr absl::Duration kStep = absl::Microseconds(10);
  constexpr absl::Duration kPause = absl::Milliseconds(300);
  while (!messages_.empty()) {
    const std::function<void()> deliver = std::move(messages_.front());
    messages_.pop_front();
    now_ += kStep;
    deliver();
    for (const auto& balancer : balancers_) {
      balancer->core.Tick(now_);
    }
  }
  now_ += kPause;
  for (const auto& agent : agents_) {
    agent->core.Tick(now_);
  }
  for (const auto& balancer : balancers_) {
    balancer->core.Tick(now_);
  }
}

void flow_world::Tell() {
  std::vector<known_upstream> known;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    known_upstream& item = known.emplace_back();
    item.agent = agents_[i]->Address();
    item.service = ServiceName(upstreams_[i].service);
    item.state = upstreams_[i].draining ? upstream_state::kDraining
                                        : upstream_state::kServing;
    item.slots = 2;
  }
  for (const auto& balancer : balancers_) {
    if (balancer != nullptr) {
      balancer->core.OnUpstreams(known);
      balancer->core.OnSettled(absl::InfiniteFuture(), now_);
    }
  }
}

void flow_world::RestartBalancer(size_t balancer) {
  balancers_.at(balancer) = std::make_unique<balancer_end>(this, balancer);
  balancers_[balancer]->core.OnRoutes(
      std::make_shared<const route_set>(1, Routes(wanted_.second_share)));
  Tell();
}

void flow_world::RestartAgent(size_t agent) {
  agents_.at(agent) = std::make_unique<agent_end>(this, agent);
  agents_[agent]->core.OnUpstream(upstreams_[agent].draining
                                      ? upstream_state::kDraining
                                      : upstream_state::kServing,
                                  2, false);
  upstreams_[agent].seen_from_start = false;
}

void flow_world::RestartUpstream(size_t agent) {
  upstreams_.at(agent).held.clear();
  upstreams_[agent].draining = false;
  upstreams_[agent].seen_from_start = true;
  agents_[agent]->core.OnUpstream(upstream_state::kServing, 2, true);
  Tell();
}

// Balancers may hear of it later than the agent.
void flow_world::Drain(size_t agent) {
  upstreams_.at(agent).draining = true;
  agents_[agent]->core.OnUpstream(upstream_state::kDraining, 2,
                                  upstreams_[agent].seen_from_start);
}

size_t flow_world::Open() {
  const size_t number = callers_.size();
  caller& added = callers_.emplace_back();
  added.flow = {{0x64400001 + static_cast<uint32_t>(number), 40001}, kHost};
  by_flow_[ToString(added.flow)] = number;
  flow_packet packet;
  packet.opening = true;
  SendFromCaller(number, packet, random_() % balancers_.size());
  return number;
}

void flow_world::Talk(size_t flow) {
  const caller& talker = callers_.at(flow);
  if (!talker.connected || talker.reset) {
    return;
  }
  flow_packet packet;
  packet.acknowledges = true;
  packet.acknowledged = talker.upstream_sequence + 1;
  packet.length = 100;
  SendFromCaller(flow, packet, random_() % balancers_.size());
}

void flow_world::SendFromCaller(size_t flow, const flow_packet& packet,
                                size_t balancer) {
  flow_packet sent = packet;
  sent.source = callers_[flow].flow.caller;
  sent.destination = kHost;
  Post([this, sent, balancer] {
    balancers_.at(balancer)->core.OnCallerPacket(sent, Encode(sent), now_);
  });
}

void flow_world::AtUpstream(size_t agent, const std::vector<uint8_t>& bytes,
                            uint32_t mark) {
  upstream& here = upstreams_.at(agent);
  const flow_packet packet = Decode(bytes);
  const std::string name = ToString(FlowFromCaller(packet));
  breaches_.bytes_changed += packet.mark != 0 || packet.returned ? 1 : 0;
  const auto held = here.held.find(name);
  flow_packet answer;
  answer.source = packet.destination;
  answer.destination = packet.source;
  if (packet.opening) {
    breaches_.opening_at_wrong_service +=
        here.service != 0 && wanted_.second_share == 0 ? 1 : 0;
    breaches_.opening_while_draining += here.draining ? 1 : 0;
    half_open& opened = here.held[name];
    if (opened.sequence == 0) {
      opened.sequence = static_cast<uint32_t>(random_() | 1);
    }
    answer.opening = true;
    answer.sequence = opened.sequence;
  } else if (held != here.held.end() &&
             packet.acknowledged == held->second.sequence + 1) {
    held->second.open = true;
    caller& owner = callers_.at(by_flow_.at(name));
    owner.upstream = agent;
    owner.strays = 0;
    answer.length = 10;
    answer.sequence = held->second.sequence + 1;
  } else {
    NoteStray(name);
    flow_packet returned = packet;
    returned.returned = true;
    returned.mark = mark;
    agents_[agent]->core.OnUpstreamPacket(returned, bytes, now_);
    return;
  }
  agents_[agent]->core.OnUpstreamPacket(answer, Encode(answer), now_);
}

void flow_world::NoteStray(const std::string& flow) {
  const size_t number = by_flow_.at(flow);
  if (!IsOpen(number)) {
    return;
  }
  caller& owner = callers_[number];
  if (owner.strays++ == 0) {
    owner.first_stray = now_;
  }
  breaches_.living_flow_astray +=
      owner.strays >= kStrayPackets && now_ >= owner.first_stray + kStrayTime
          ? 1
          : 0;
}

void flow_world::AtCaller(const flow_packet& packet) {
  caller& here = callers_.at(by_flow_.at(ToString(FlowFromUpstream(packet))));
  if (!packet.opening) {
    ++here.answered;
  } else if (!here.connected) {
    here.connected = true;
    here.upstream_sequence = packet.sequence;
  }
}

void flow_world::OnReset(const flow_id& flow) {
  const size_t number = by_flow_.at(ToString(flow));
  breaches_.living_flow_reset += IsOpen(number) ? 1 : 0;
  callers_[number].reset = true;
}

bool flow_world::IsOpen(size_t flow) const {
  const std::string name = ToString(callers_.at(flow).flow);
  for (const upstream& item : upstreams_) {
    const auto held = item.held.find(name);
    if (held != item.held.end() && held->second.open) {
      return true;
    }
  }
  return false;
}

}  // namespace cardamomroute
