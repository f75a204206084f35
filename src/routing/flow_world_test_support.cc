#include "routing/flow_world_test_support.h"

#include <algorithm>
#include <utility>

#include "routing/placement_strategy.h"
#include "routing/world_messages_test_support.h"
#include "view/view_codec.h"

namespace cardamomroute {
namespace {

constexpr int kServices = 2;
constexpr int64_t kTickMs = 20;
constexpr int64_t kTicksPerPull = 15;
constexpr absl::Duration kTickInterval = absl::Milliseconds(kTickMs);
constexpr absl::Duration kPullInterval =
    absl::Milliseconds(kTickMs * kTicksPerPull);
/// From leaving the view to the end of the process.
constexpr absl::Duration kRetirement = absl::Seconds(5);
constexpr std::size_t kCachedFlows = 64;

}  // namespace

flow_world::flow_world(const world_options& options)
    : options_(options), random_(options.seed) {
  view first;
  first.version = 1;
  for (service_id id = 1; id <= kServices; ++id) {
    service item;
    item.id = id;
    item.name = "service-" + std::to_string(id);
    item.address = ServiceAddress(id);
    first.services.push_back(item);
  }
  StampChanges(view{}, &first);
  views_.push_back(std::move(first));
  balancers_.resize(options.balancers);
  for (int i = 0; i < options.balancers; ++i) {
    RestartBalancer(i);
    TickBalancer(i);
  }
}

flow_world::~flow_world() = default;

absl::Duration flow_world::RandomDelay(absl::Duration most) {
  std::uniform_int_distribution<int64_t> micros(
      1, absl::ToInt64Microseconds(most));
  return absl::Microseconds(micros(random_));
}

bool flow_world::Chance(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

void flow_world::Publish(view next) {
  next.version = views_.back().version + 1;
  StampChanges(views_.back(), &next);
  for (const target& before : views_.back().targets) {
    if (next.FindTarget(before.id) == nullptr) {
      left_in_[before.id] = next.version;
    }
  }
  views_.push_back(std::move(next));
}

target_id flow_world::Join(service_id service, const std::string& zone) {
  auto joined = std::make_unique<agent>();
  const target_id id = ++last_id_;
  joined->id = id;
  joined->service = service;
  for (uint16_t port = 1;; ++port) {
    joined->address = AgentAddress(port);
    if (by_address_.emplace(joined->address, id).second) {
      break;
    }
  }
  joined->core =
      std::make_unique<flow_core>(id, service, &MeasuredLoadPlacement());
  target item;
  item.id = id;
  item.service = service;
  item.zone = zone;
  item.agent = joined->address;
  agents_[id] = std::move(joined);
  view next = views_.back();
  next.targets.push_back(item);
  Publish(std::move(next));
  TickAgent(id);
  PullAgent(id);
  return id;
}

void flow_world::Drain(target_id id) {
  agent* leaving = FindAgent(id);
  if (leaving == nullptr || leaving->is_draining) {
    return;
  }
  leaving->is_draining = true;
  leaving->core->BeginDrain();
  view next = views_.back();
  for (target& item : next.targets) {
    if (item.id == id) {
      item.state = target_state::kDraining;
    }
  }
  Publish(std::move(next));
}

void flow_world::Crash(target_id id, absl::Duration until_removed) {
  const agent* crashed = FindAgent(id);
  if (crashed == nullptr) {
    return;
  }
  by_address_.erase(crashed->address);
  agents_.erase(id);
  truths_.OnCrash(id);
  events_.At(now() + until_removed, [this, id] { RemoveFromView(id); });
}

void flow_world::RemoveFromView(target_id id) {
  view next = views_.back();
  next.targets.erase(
      std::remove_if(next.targets.begin(), next.targets.end(),
                     [&](const target& item) { return item.id == id; }),
      next.targets.end());
  Publish(std::move(next));
}

void flow_world::Retire(target_id id) {
  agent* retired = FindAgent(id);
  counts_.broken += retired->states.size();
  retired->is_retired = true;
  RemoveFromView(id);
  events_.At(now() + kRetirement, [this, id] {
    const agent* gone = FindAgent(id);
    if (gone != nullptr) {
      by_address_.erase(gone->address);
      agents_.erase(id);
    }
  });
}

void flow_world::RestartBalancer(int index) {
  balancers_[index].known = view{};
  balancers_[index].core =
      std::make_unique<balancer_core>(BalancerAddress(index), kCachedFlows);
  PullBalancer(index);
}

void flow_world::TickBalancer(int index) {
  PullBalancer(index);
  events_.At(now() + kPullInterval, [this, index] { TickBalancer(index); });
}

void flow_world::PullBalancer(int index) {
  const view answer = views_.back();
  const absl::Time asked_at = now();
  events_.At(now() + RandomDelay(options_.max_view_delay), [=] {
    fake_balancer& balancer = balancers_[index];
    auto change = DecodeDelta(MakeDelta(balancer.known, answer));
    if (change && answer.version > balancer.known.version) {
      balancer.core->OnChange(change.value());
      balancer.known = answer;
    }
    balancer.core->OnCurrentVersion(answer.version, asked_at);
  });
}

void flow_world::TickAgent(target_id id) {
  agent* ticked = FindAgent(id);
  if (ticked == nullptr) {
    return;
  }
  flow_actions actions;
  ticked->core->OnTick(now(), &actions);
  Carry(id, &actions);
  if (!ticked->is_retired && ticked->core->IsDrained(now())) {
    Retire(id);
  }
  const int64_t tick = absl::ToUnixMillis(now()) / kTickMs;
  if ((tick + static_cast<int64_t>(id)) % kTicksPerPull == 0) {
    PullAgent(id);
  }
  events_.At(now() + kTickInterval, [this, id] { TickAgent(id); });
}

void flow_world::PullAgent(target_id id) {
  const view answer = views_.back();
  const absl::Time asked_at = now();
  events_.At(now() + RandomDelay(options_.max_view_delay), [=] {
    agent* puller = FindAgent(id);
    if (puller == nullptr) {
      return;
    }
    flow_actions actions;
    puller->core->OnView(answer, now(), &actions);
    puller->core->OnCurrentVersion(answer.version, asked_at);
    Carry(id, &actions);
  });
}

void flow_world::Send(uint16_t caller, service_id service) {
  const endpoint address = CallerAddress(caller);
  const flow_key flow{address, service};
  known_flows_[flow] = true;
  const uint64_t serial = ++last_serial_;
  decided_[serial] = false;
  const auto index = random_() % balancers_.size();
  const balancer_decision decision =
      balancers_[index].core->OnPacket(address, ServiceAddress(service), now());
  if (decision.verdict == balancer_verdict::kForward) {
    sent_under_[serial] = decision.header.view_version;
    Transmit(decision.agent, decision.header, ToPayload({serial}));
    return;
  }
  decided_[serial] = true;
  ++counts_.refused;
}

void flow_world::Close(uint16_t caller, service_id service) {
  const flow_key flow{CallerAddress(caller), service};
  agent* holder = FindAgent(truths_.HolderOf(flow));
  if (holder == nullptr) {
    return;
  }
  truths_.Erase(flow);
  holder->states.erase(flow.caller);
  flow_actions actions;
  holder->core->OnFlowClosed(flow.caller, now(), &actions);
  Carry(holder->id, &actions);
}

void flow_world::RunFor(absl::Duration duration) {
  events_.RunUntil(now() + duration);
}

void flow_world::Calm() {
  options_.loss = 0;
  options_.duplication = 0;
}

uint64_t flow_world::CountUndecided() {
  const uint64_t before = last_serial_;
  for (const auto& [flow, known] : known_flows_) {
    Send(flow.caller.port, flow.service);
  }
  RunFor(absl::Seconds(6));
  uint64_t undecided = 0;
  for (uint64_t serial = before + 1; serial <= last_serial_; ++serial) {
    undecided += decided_[serial] ? 0 : 1;
  }
  return undecided;
}

flow_world::agent* flow_world::FindAgent(target_id id) {
  const auto found = agents_.find(id);
  return found != agents_.end() ? found->second.get() : nullptr;
}

std::vector<target_id> flow_world::Serving(service_id service) const {
  std::vector<target_id> ids;
  for (const auto& [id, item] : agents_) {
    if (item->service == service && !item->is_draining) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::size_t flow_world::CountDraining() const {
  return static_cast<std::size_t>(
      std::count_if(agents_.begin(), agents_.end(), [](const auto& entry) {
        return entry.second->is_draining && !entry.second->is_retired;
      }));
}

std::vector<target_id> flow_world::Present(service_id service) const {
  std::vector<target_id> ids;
  for (const auto& [id, item] : agents_) {
    if (item->service == service) {
      ids.push_back(id);
    }
  }
  return ids;
}

absl::flat_hash_map<target_id, std::size_t> flow_world::FlowsByTarget() const {
  absl::flat_hash_map<target_id, std::size_t> flows;
  for (const auto& [id, item] : agents_) {
    flows[id] = item->states.size();
  }
  return flows;
}

}  // namespace cardamomroute
