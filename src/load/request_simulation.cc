#include "load/request_simulation.h"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "requests/protocol_times.h"

namespace cardamomroute::load {
namespace {

constexpr service_id kService = 1;
constexpr absl::Duration kReportInterval = absl::Seconds(1);
// From the first try of a request to the last moment at which its caller
// comes back.
constexpr absl::Duration kPatience = absl::Seconds(20);
constexpr absl::Duration kSettleTime = absl::Seconds(120);

uint8_t CodeOf(const std::string& method) {
  return method == "GET" ? kGetCode : method == "POST" ? kPostCode : kPutCode;
}

flow_key CallerNumber(uint32_t number) {
  flow_key flow;
  flow.service = kService;
  for (int i = 0; i < 4; ++i) {
    flow.caller.ip[12 + i] = static_cast<uint8_t>(number >> (8 * (3 - i)));
  }
  flow.caller.port = 40000;
  return flow;
}

}  // namespace

request_simulation::request_simulation(const simulation_settings& settings)
    : settings_(settings),
      random_(settings.seed),
      start_(absl::FromUnixSeconds(1000000)),
      events_(start_),
      calls_(settings.burst),
      ledger_(settings, start_ + settings.span) {
  for (size_t i = 0; i < settings_.targets; ++i) {
    servers_.push_back(MakeServer(settings_.server, kFirstTarget + i,
                                  settings_.slots, settings_.seed + i));
  }
  takes_flows_.assign(settings_.targets, true);
  alive_.assign(settings_.targets, true);
  wake_at_.assign(settings_.targets, absl::InfiniteFuture());
  reported_.assign(settings_.targets, 0);
  Announce(false);
}

request_simulation::~request_simulation() = default;

void request_simulation::At(absl::Time when, std::function<void()> event) {
  events_.At(when, std::move(event));
}

void request_simulation::After(absl::Duration delay,
                               std::function<void()> event) {
  events_.At(now() + delay, std::move(event));
}

bool request_simulation::Happens(double share) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

void request_simulation::ScheduleArrivals() {
  const double capacity =
      static_cast<double>(settings_.targets * settings_.slots) /
      calls_.MeanRunSeconds();
  std::exponential_distribution<double> gap(capacity * settings_.load);
  for (absl::Time at = start_; at < start_ + settings_.span;
       at += absl::Seconds(gap(random_))) {
    At(at, [this] { Arrive(); });
  }
}

void request_simulation::ScheduleReports() {
  for (absl::Time at = start_; at < start_ + settings_.span + kSettleTime;
       at += kReportInterval) {
    At(at, [this] {
      for (size_t i = 0; i < servers_.size(); ++i) {
        reported_[i] = servers_[i]->Load();
      }
    });
  }
}

simulation_figures request_simulation::Run() {
  ScheduleArrivals();
  ScheduleReports();
  if (settings_.faults) {
    At(start_ + settings_.span / 3, [this] { Drain(0); });
    At(start_ + settings_.span / 2, [this] { Crash(1); });
  }
  events_.RunUntil(start_ + settings_.span + kSettleTime);
  return ledger_.Figures();
}

void request_simulation::Arrive() {
  simulated_request arrived;
  arrived.kind = calls_.DrawKind(&random_);
  arrived.run = call_mix::DrawRun(arrived.kind, &random_);
  arrived.flow = CallerNumber(next_caller_++);
  arrived.arrived_at = now();
  Try(ledger_.Add(arrived), {});
}

std::string request_simulation::MakeRequest(size_t index,
                                            const std::string& echo) {
  const simulated_request& asked = ledger_.At(index);
  const call_kind& call = SimulatedCalls()[asked.kind];
  coap_message message;
  message.code = CodeOf(call.method);
  message.id = ++message_ids_[asked.flow];
  // Few tokens, the same for all callers.
  message.token = std::string(1, static_cast<char>(message.id));
  AddOption(&message, option_number::kUriPath, call.path.substr(1));
  AddOption(&message, option_number::kUriQuery,
            absl::StrCat(index, ".", absl::ToInt64Microseconds(asked.run)));
  if (!echo.empty()) {
    AddOption(&message, option_number::kEcho, echo);
  }
  open_[{asked.flow, message.token}] = index;
  return SerializeCoap(message);
}

void request_simulation::Try(size_t index, const std::string& echo) {
  simulated_request& tried = ledger_.At(index);
  if (echo.empty()) {
    const call_kind& call = SimulatedCalls()[tried.kind];
    tried.deadline = now() + absl::Milliseconds(call.timeout_ms);
  }
  const std::string datagram = MakeRequest(index, echo);
  const std::string token(1, static_cast<char>(message_ids_[tried.flow]));
  for (int i = 0; i <= kMaxRetransmit; ++i) {
    // Once it is answered the caller sends no more.
    After(kAckTimeout * ((1 << i) - 1), [=] {
      const auto open = open_.find({ledger_.At(index).flow, token});
      if (open != open_.end() && open->second == index) {
        Transmit(index, datagram);
      }
    });
  }
}

std::vector<size_t> request_simulation::OpenTargets() const {
  std::vector<size_t> open;
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (takes_flows_[i] && alive_[i]) {
      open.push_back(i);
    }
  }
  return open;
}

size_t request_simulation::Place(const flow_key& flow) {
  const std::vector<size_t> open = OpenTargets();
  if (settings_.placement == placement_policy::kReportedLoad) {
    return *std::min_element(open.begin(), open.end(), [&](size_t a, size_t b) {
      return reported_[a] < reported_[b];
    });
  }
  const uint64_t hash = HashOf(flow);
  const size_t home = open[hash % open.size()];
  const size_t step = 1 + (hash >> 32) % (open.size() - 1);
  const size_t candidate = open[(hash % open.size() + step) % open.size()];
  return servers_[candidate]->Load() < servers_[home]->Load() ? candidate
                                                              : home;
}

size_t request_simulation::HolderOf(const flow_key& flow) {
  const auto held = holders_.find(flow);
  if (held != holders_.end()) {
    return held->second;
  }
  return holders_[flow] = Place(flow);
}

void request_simulation::Conclude(size_t index, const coap_message& answer) {
  const absl::Time back_at =
      now() +
      absl::Seconds(FindUint(answer, option_number::kMaxAge).value_or(1));
  const absl::Time last_try = ledger_.At(index).arrived_at + kPatience;
  if (answer.code == kServiceUnavailableCode && back_at <= last_try) {
    ledger_.OnRetry(index);
    At(back_at, [=] { Try(index, {}); });
    return;
  }
  ledger_.OnFinalAnswer(index, answer, now());
}

void request_simulation::Announce(bool lost) {
  absl::flat_hash_set<target_id> live;
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (alive_[i]) {
      live.insert(kFirstTarget + i);
    }
  }
  for (size_t i = 0; i < servers_.size(); ++i) {
    if (alive_[i]) {
      servers_[i]->OnLive(live, lost, now());
    }
  }
}

void request_simulation::Drain(size_t target) {
  takes_flows_[target] = false;
  Carry(target, servers_[target]->BeginDrain(now()));
}

void request_simulation::HandOver(size_t from, const flow_key& flow) {
  const std::string state = servers_[from]->Export(flow, now());
  if (state.empty()) {
    return;
  }
  in_transit_.insert(flow);
  After(NetworkDelay(), [=] {
    const size_t to = Place(flow);
    in_transit_.erase(flow);
    holders_[flow] = to;
    Carry(to, servers_[to]->Import(flow, state, now()));
  });
}

void request_simulation::Crash(size_t target) {
  alive_[target] = false;
  After(absl::Seconds(2), [=] {
    Announce(true);
    for (auto held = holders_.begin(); held != holders_.end();) {
      const auto next = std::next(held);
      if (held->second == target) {
        holders_.erase(held);
      }
      held = next;
    }
  });
}

}  // namespace cardamomroute::load
