#include "requests/request_test_support.h"

#include <optional>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "requests/protocol_times.h"

namespace cardamomroute::requests_test {
namespace {

constexpr service_id kService = 7;
constexpr int kCallerTransmissions = 5;
constexpr absl::Duration kSettleTime = absl::Seconds(700);

std::vector<call_kind> Calls() {
  call_kind write;
  write.name = "write";
  write.method = "POST";
  write.path = "/writes";
  write.urgency = call_class::kCritical;
  write.timeout_ms = 4000;
  call_kind read;
  read.name = "read";
  read.method = "GET";
  read.path = "/read";
  read.urgency = call_class::kUrgent;
  read.idempotent = true;
  read.timeout_ms = 4000;
  return {write, read};
}

bool EndsRequest(decision_kind decision) {
  switch (decision) {
    case decision_kind::kAnswered:
    case decision_kind::kNotRun:
    case decision_kind::kUnknown:
    case decision_kind::kRefused:
    case decision_kind::kChallenged:
    case decision_kind::kRepeatAnswered:
    case decision_kind::kForwarded:
      return true;
    default:
      return false;
  }
}

}  // namespace

struct request_bench::target {
  std::unique_ptr<request_core> core;
  bool alive = true;
  absl::Time scheduled = absl::InfiniteFuture();
  std::set<std::pair<leg_id, uint16_t>> seen;
  std::set<leg_id> silent;
  std::map<leg_id, int> heard;
};

struct request_bench::caller {
  struct exchange {
    uint64_t id = 0;
    int call = 0;
    flow_key flow;
    std::string echo;
    std::string datagram;
    bool settled = false;
  };
  flow_key flow;
  uint16_t next_message_id = 1;
  uint8_t next_token = 1;
  std::map<std::string, exchange> open;
  std::map<int, bool> done;
};

request_bench::request_bench(uint64_t seed, bench_faults faults, uint32_t slots)
    : random_(seed), faults_(faults), now_(absl::FromUnixSeconds(1000000)) {
  for (int i = 0; i < 2; ++i) {
    request_core_settings settings;
    settings.incarnation = 100 + i;
    settings.slots = slots;
    settings.queue_capacity = 8;
    settings.legs = 3;
    settings.seed = seed + i;
    settings.echo_key = absl::StrCat("key of target ", i);
    auto added = std::make_unique<target>();
    added->core = std::make_unique<request_core>(settings);
    added->core->OnServiceCalls(Calls());
    added->core->OnLiveTargets({100, 101});
    targets_.push_back(std::move(added));
  }
}

request_bench::~request_bench() = default;

void request_bench::At(absl::Time when, std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

bool request_bench::Happens(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

absl::Duration request_bench::Delay(int longest_us) {
  return absl::Microseconds(static_cast<int64_t>(random_() % longest_us) + 1);
}

void request_bench::Run(int callers, int calls, absl::Duration span) {
  for (int i = 0; i < callers; ++i) {
    auto added = std::make_unique<caller>();
    added->flow.caller.port = next_port_++;
    added->flow.service = kService;
    holder_[added->flow] = i % 2;
    owner_[added->flow] = i;
    callers_.push_back(std::move(added));
  }
  calls_.resize(calls);
  const auto span_us = static_cast<int>(absl::ToInt64Microseconds(span));
  for (int call = 0; call < calls; ++call) {
    calls_[call].idempotent = Happens(30);
    const int index = static_cast<int>(random_() % callers);
    At(now_ + Delay(span_us), [=] { SendRequest(index, call, {}); });
  }
  if (faults_.drain_at_ms > 0) {
    At(now_ + absl::Milliseconds(faults_.drain_at_ms), [this] { Drain(); });
  }
  if (faults_.crash_at_ms > 0) {
    At(now_ + absl::Milliseconds(faults_.crash_at_ms), [this] { Crash(); });
  }
  const absl::Time end = now_ + span + kSettleTime;
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.begin();
    now_ = next->first;
    const std::function<void()> event = std::move(next->second);
    events_.erase(next);
    event();
  }
}

void request_bench::SendRequest(int caller_index, int call, std::string echo) {
  caller& from = *callers_[caller_index];
  coap_message message;
  message.code = calls_[call].idempotent ? kGetCode : kPostCode;
  message.id = from.next_message_id++;
  // All callers use the same few tokens, so a foreign one would be mistaken.
  message.token = std::string(1, static_cast<char>(from.next_token++));
  AddOption(&message, option_number::kUriPath,
            calls_[call].idempotent ? "read" : "writes");
  AddOption(&message, option_number::kUriQuery, absl::StrCat("n=", call));
  if (!echo.empty()) {
    AddOption(&message, option_number::kEcho, echo);
  }
  caller::exchange exchange;
  exchange.id = next_exchange_++;
  exchange.call = call;
  exchange.flow = from.flow;
  exchange.echo = std::move(echo);
  exchange.datagram = SerializeCoap(message);
  const std::string token = message.token;
  const uint64_t id = exchange.id;
  from.open[token] = std::move(exchange);
  for (int attempt = 0; attempt < kCallerTransmissions; ++attempt) {
    const absl::Duration wait = kAckTimeout * ((1 << attempt) - 1);
    At(now_ + wait, [=] {
      const auto it = callers_[caller_index]->open.find(token);
      if (it != callers_[caller_index]->open.end() && it->second.id == id &&
          !it->second.settled) {
        Transmit(it->second.flow, it->second.datagram);
      }
    });
  }
  if (!Happens(faults_.new_socket) || from.open[token].echo.empty()) {
    return;
  }
  // The socket is lost: the same request goes out from another one.
  At(now_ + Delay(3000000), [=] {
    caller& moved = *callers_[caller_index];
    const auto it = moved.open.find(token);
    if (it == moved.open.end() || it->second.id != id || it->second.settled) {
      return;
    }
    it->second.settled = true;
    const std::string used = it->second.echo;
    const int other = static_cast<int>(random_() % 2);
    moved.flow.caller.port = next_port_++;
    holder_[moved.flow] = targets_[other]->alive ? other : 1;
    owner_[moved.flow] = caller_index;
    SendRequest(caller_index, call, used);
  });
}

void request_bench::Transmit(const flow_key& flow,
                             const std::string& datagram) {
  const int copies =
      Happens(faults_.caller_loss) ? 0 : 1 + (Happens(faults_.caller_repeat));
  for (int i = 0; i < copies; ++i) {
    const bool late = i > 0 || Happens(faults_.caller_late);
    At(now_ + Delay(late ? 9000000 : 3000), [=] { ToCore(flow, datagram); });
  }
}

void request_bench::ToCore(const flow_key& flow, const std::string& datagram) {
  if (in_transit_.count(flow) > 0) {
    At(now_ + absl::Milliseconds(1), [=] { ToCore(flow, datagram); });
    return;
  }
  const int index = holder_[flow];
  if (targets_[index]->alive) {
    Carry(index, targets_[index]->core->OnCallerMessage(flow, datagram, now_));
  }
}

void request_bench::ToCaller(const flow_key& flow,
                             const std::string& datagram) {
  caller& to = *callers_[owner_[flow]];
  const coap_message message = ParseCoap(datagram).value();
  if (message.type == message_type::kConfirmable) {
    coap_message ack;
    ack.type = message_type::kAcknowledgement;
    ack.id = message.id;
    Transmit(flow, SerializeCoap(ack));
  }
  const auto it = to.open.find(message.token);
  if (!IsResponse(message) || it == to.open.end() || it->second.flow != flow ||
      it->second.settled) {
    return;
  }
  it->second.settled = true;
  const caller::exchange exchange = it->second;
  const message_option* echo = FindOption(message, option_number::kEcho);
  if (message.code == kUnauthorizedCode && echo != nullptr) {
    SendRequest(owner_[flow], exchange.call, echo->value);
    return;
  }
  Final(exchange.call, message);
}

void request_bench::Final(int call, const coap_message& answer) {
  bench_call& entry = calls_[call];
  ++entry.finals;
  entry.runs_when_told = runs_[call];
  if (answer.code == kContentCode || answer.code == kChangedCode) {
    entry.outcome = told::kAnswered;
    crossed_ += answer.payload == absl::StrCat("n=", call) ? 0 : 1;
  } else if (answer.code == kServiceUnavailableCode) {
    entry.outcome = told::kNotRun;
  } else if (answer.code == kGatewayTimeoutCode) {
    entry.outcome = told::kUnknown;
  } else {
    entry.outcome = told::kRefused;
  }
}

void request_bench::CheckGiveUps(const request_actions& actions) {
  for (size_t i = 0; i < actions.size(); ++i) {
    const auto* decision = std::get_if<request_decision>(&actions[i]);
    const bool given_up = decision != nullptr &&
                          decision->decision == decision_kind::kNotRun &&
                          decision->reason != decision_reason::kCallerGone;
    if (!given_up) {
      continue;
    }
    bool answered = false;
    for (size_t j = i; j < actions.size() && !answered; ++j) {
      const auto* sent = std::get_if<send_to_caller>(&actions[j]);
      if (sent != nullptr && sent->flow == decision->flow) {
        const coap_message message = ParseCoap(sent->datagram).value();
        answered = message.code == kServiceUnavailableCode &&
                   FindUint(message, option_number::kMaxAge).value_or(0) > 0;
      }
    }
    late_give_ups_ += answered ? 0 : 1;
  }
}

void request_bench::Carry(int index, const request_actions& actions) {
  CheckGiveUps(actions);
  for (const request_action& action : actions) {
    if (const auto* sent = std::get_if<send_to_caller>(&action)) {
      const send_to_caller copy = *sent;
      if (!Happens(faults_.caller_loss)) {
        At(now_ + Delay(3000), [=] { ToCaller(copy.flow, copy.datagram); });
      }
    } else if (const auto* up = std::get_if<send_to_upstream>(&action)) {
      const send_to_upstream copy = *up;
      if (!Happens(faults_.upstream_loss)) {
        At(now_ + Delay(300),
           [=] { ToUpstream(index, copy.leg, copy.datagram); });
      }
    } else if (const auto* idle = std::get_if<flow_idle>(&action)) {
      const flow_key flow = idle->flow;
      At(now_, [=] { HandOver(flow); });
    } else if (const auto* away = std::get_if<forward_to_holder>(&action)) {
      const forward_to_holder copy = *away;
      const int to = static_cast<int>(copy.holder) - 100;
      At(now_ + Delay(3000), [=] {
        if (targets_[to]->alive) {
          Carry(to, targets_[to]->core->OnForwardedMessage(
                        copy.flow, copy.datagram, now_));
        }
      });
    } else if (const auto* made = std::get_if<request_decision>(&action)) {
      if (made->request != 0) {
        ends_[{index, made->request}] += EndsRequest(made->decision) ? 1 : 0;
      }
    }
  }
  Schedule(index);
}

void request_bench::Schedule(int index) {
  target& to = *targets_[index];
  const absl::Time due = to.core->NextDeadline();
  if (due >= to.scheduled) {
    return;
  }
  to.scheduled = due;
  At(std::max(due, now_), [=] {
    target& at = *targets_[index];
    if (at.scheduled == due) {
      at.scheduled = absl::InfiniteFuture();
      if (at.alive) {
        Carry(index, at.core->OnTick(now_));
      }
    }
  });
}

void request_bench::ToUpstream(int index, leg_id leg,
                               const std::string& datagram) {
  target& at = *targets_[index];
  if (++at.heard[leg] == 3 && Happens(faults_.silent_leg)) {
    at.silent.insert(leg);
  }
  if (!at.alive || at.silent.count(leg) > 0) {
    return;
  }
  const coap_message request = ParseCoap(datagram).value();
  coap_message answer;
  answer.id = request.id;
  if (!IsRequest(request)) {
    if (request.type == message_type::kConfirmable) {
      answer.type = message_type::kReset;
      At(now_ + Delay(300), [=] { FromUpstream(index, leg, answer); });
    }
    return;
  }
  if (!at.seen.emplace(leg, request.id).second) {
    return;
  }
  answer.type = message_type::kAcknowledgement;
  const bool separate = Happens(50);
  if (separate) {
    At(now_ + Delay(300), [=] { FromUpstream(index, leg, answer); });
    answer.type = message_type::kNonConfirmable;
    answer.id = static_cast<uint16_t>(random_());
  }
  answer.token = request.token;
  if (Happens(faults_.shed)) {
    answer.code = kServiceUnavailableCode;
  } else {
    const std::string query =
        FindOption(request, option_number::kUriQuery)->value;
    int call = 0;
    if (absl::SimpleAtoi(query.substr(2), &call)) {
      ++runs_[call];
      ++runs_total_;
    }
    answer.code = request.code == kGetCode ? kContentCode : kChangedCode;
    answer.payload = query;
  }
  At(now_ + Delay(faults_.longest_run_ms * 1000),
     [=] { FromUpstream(index, leg, answer); });
}

void request_bench::FromUpstream(int index, leg_id leg,
                                 const coap_message& message) {
  target& at = *targets_[index];
  if (!at.alive || at.silent.count(leg) > 0) {
    return;
  }
  const int copies = Happens(faults_.upstream_loss) ? 0 : 1 + Happens(10);
  for (int i = 0; i < copies; ++i) {
    Carry(index, at.core->OnUpstreamMessage(leg, SerializeCoap(message), now_));
  }
}

void request_bench::Drain() {
  targets_[1]->core->OnLiveTargets({100, 101});
  Carry(0, targets_[0]->core->BeginDrain(now_));
}

void request_bench::HandOver(const flow_key& flow) {
  const auto state = targets_[0]->core->ExportFlow(flow, now_);
  if (!state) {
    return;
  }
  in_transit_.insert(flow);
  At(now_ + Delay(5000), [=] {
    auto imported = targets_[1]->core->ImportFlow(flow, *state, now_);
    in_transit_.erase(flow);
    holder_[flow] = 1;
    Carry(1, imported.value());
  });
}

void request_bench::Crash() {
  targets_[0]->alive = false;
  // The view without the target moves its flows.
  At(now_ + Delay(2000000), [this] {
    targets_[1]->core->OnLiveTargets({101});
    targets_[1]->core->OnTargetLost(now_);
    for (auto& [flow, index] : holder_) {
      index = 1;
    }
  });
}

int request_bench::DuplicateRuns() const {
  int duplicates = 0;
  for (const auto& [call, runs] : runs_) {
    duplicates += !calls_[call].idempotent && runs > 1 ? 1 : 0;
  }
  return duplicates;
}

int request_bench::FalseNotRun() const {
  int false_told = 0;
  for (const auto& [call, runs] : runs_) {
    const bool told_not_run = calls_[call].outcome == told::kNotRun;
    const int counted =
        calls_[call].idempotent ? calls_[call].runs_when_told : runs;
    false_told += told_not_run && counted > 0 ? 1 : 0;
  }
  return false_told;
}

int request_bench::WrongEnds() const {
  int wrong = 0;
  for (const auto& [request, ends] : ends_) {
    const bool lost = request.first == 0 && !targets_[0]->alive;
    wrong += ends != 1 && !(lost && ends == 0) ? 1 : 0;
  }
  return wrong;
}

int request_bench::Count(told outcome) const {
  int count = 0;
  for (const bench_call& call : calls_) {
    count += call.outcome == outcome ? 1 : 0;
  }
  return count;
}

std::string request_bench::Summary() const {
  return absl::StrCat("runs ", Runs(), " answered ", Count(told::kAnswered),
                      " not-run ", Count(told::kNotRun), " unknown ",
                      Count(told::kUnknown), " refused ", Count(told::kRefused),
                      " silent ", Count(told::kNothing), " | duplicates ",
                      DuplicateRuns(), " false-not-run ", FalseNotRun(),
                      " crossed ", CrossedAnswers(), " late ", LateGiveUps(),
                      " wrong-ends ", WrongEnds());
}

}  // namespace cardamomroute::requests_test
