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

std::vector<call_kind> TestCallKinds() {
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

bool CompletesRequest(decision_kind decision) {
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

struct request_simulation::target {
  std::unique_ptr<request_core> core;
  bool alive = true;
  absl::Time next_tick_at = absl::InfiniteFuture();
  std::set<std::pair<leg_id, uint16_t>> seen_message_ids;
  std::set<leg_id> silent_legs;
  std::map<leg_id, int> messages_by_leg;
};

struct request_simulation::caller {
  struct exchange {
    uint64_t id = 0;
    int call = 0;
    flow_key flow;
    std::string echo;
    std::string datagram;
    bool completed = false;
  };
  flow_key flow;
  uint16_t next_message_id = 1;
  uint8_t next_token = 1;
  std::map<std::string, exchange> open;
  std::map<int, bool> done;
};

request_simulation::request_simulation(uint64_t seed, simulation_faults faults,
                                       uint32_t slots)
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
    added->core->OnServiceCalls(TestCallKinds());
    added->core->OnLiveTargets({100, 101});
    targets_.push_back(std::move(added));
  }
}

request_simulation::~request_simulation() = default;

void request_simulation::ScheduleAt(absl::Time when,
                                    std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

bool request_simulation::RandomChance(int percent) {
  return static_cast<int>(random_() % 100) < percent;
}

absl::Duration request_simulation::RandomDelay(int max_us) {
  return absl::Microseconds(static_cast<int64_t>(random_() % max_us) + 1);
}

void request_simulation::Run(int callers, int calls, absl::Duration span) {
  for (int i = 0; i < callers; ++i) {
    auto added = std::make_unique<caller>();
    added->flow.caller.port = next_port_++;
    added->flow.service = kService;
    holder_by_flow_[added->flow] = i % 2;
    caller_by_flow_[added->flow] = i;
    callers_.push_back(std::move(added));
  }
  calls_.resize(calls);
  const auto span_us = static_cast<int>(absl::ToInt64Microseconds(span));
  for (int call = 0; call < calls; ++call) {
    calls_[call].idempotent = RandomChance(30);
    const int index = static_cast<int>(random_() % callers);
    ScheduleAt(now_ + RandomDelay(span_us),
               [=] { SendRequest(index, call, {}); });
  }
  if (faults_.drain_at_ms > 0) {
    ScheduleAt(now_ + absl::Milliseconds(faults_.drain_at_ms),
               [this] { Drain(); });
  }
  if (faults_.crash_at_ms > 0) {
    ScheduleAt(now_ + absl::Milliseconds(faults_.crash_at_ms),
               [this] { Crash(); });
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

void request_simulation::SendRequest(int caller_index, int call,
                                     std::string echo) {
  caller& sender = *callers_[caller_index];
  coap_message message;
  message.code = calls_[call].idempotent ? kGetCode : kPostCode;
  message.id = sender.next_message_id++;
  // Callers share a small set of tokens, so that a response delivered to the
  // wrong caller would match one of its requests.
  message.token = std::string(1, static_cast<char>(sender.next_token++));
  AddOption(&message, option_number::kUriPath,
            calls_[call].idempotent ? "read" : "writes");
  AddOption(&message, option_number::kUriQuery, absl::StrCat("n=", call));
  if (!echo.empty()) {
    AddOption(&message, option_number::kEcho, echo);
  }
  caller::exchange exchange;
  exchange.id = next_exchange_id_++;
  exchange.call = call;
  exchange.flow = sender.flow;
  exchange.echo = std::move(echo);
  exchange.datagram = SerializeCoap(message);
  const std::string token = message.token;
  const uint64_t id = exchange.id;
  sender.open[token] = std::move(exchange);
  for (int attempt = 0; attempt < kCallerTransmissions; ++attempt) {
    const absl::Duration wait = kAckTimeout * ((1 << attempt) - 1);
    ScheduleAt(now_ + wait, [=] {
      const auto it = callers_[caller_index]->open.find(token);
      if (it != callers_[caller_index]->open.end() && it->second.id == id &&
          !it->second.completed) {
        Transmit(it->second.flow, it->second.datagram);
      }
    });
  }
  if (!RandomChance(faults_.new_socket_percent) ||
      sender.open[token].echo.empty()) {
    return;
  }
  // The caller loses its socket and sends the same request from another one.
  ScheduleAt(now_ + RandomDelay(3000000), [=] {
    caller& moved = *callers_[caller_index];
    const auto it = moved.open.find(token);
    if (it == moved.open.end() || it->second.id != id || it->second.completed) {
      return;
    }
    it->second.completed = true;
    const std::string used_echo = it->second.echo;
    const int other = static_cast<int>(random_() % 2);
    moved.flow.caller.port = next_port_++;
    holder_by_flow_[moved.flow] = targets_[other]->alive ? other : 1;
    caller_by_flow_[moved.flow] = caller_index;
    SendRequest(caller_index, call, used_echo);
  });
}

void request_simulation::Transmit(const flow_key& flow,
                                  const std::string& datagram) {
  const int copies = RandomChance(faults_.caller_loss_percent)
                         ? 0
                         : 1 + (RandomChance(faults_.caller_duplicate_percent));
  for (int i = 0; i < copies; ++i) {
    const bool late = i > 0 || RandomChance(faults_.caller_delay_percent);
    ScheduleAt(now_ + RandomDelay(late ? 9000000 : 3000),
               [=] { DeliverToCore(flow, datagram); });
  }
}

void request_simulation::DeliverToCore(const flow_key& flow,
                                       const std::string& datagram) {
  if (flows_in_transit_.count(flow) > 0) {
    ScheduleAt(now_ + absl::Milliseconds(1),
               [=] { DeliverToCore(flow, datagram); });
    return;
  }
  const int index = holder_by_flow_[flow];
  if (targets_[index]->alive) {
    ApplyActions(index,
                 targets_[index]->core->OnCallerMessage(flow, datagram, now_));
  }
}

void request_simulation::DeliverToCaller(const flow_key& flow,
                                         const std::string& datagram) {
  caller& receiver = *callers_[caller_by_flow_[flow]];
  const coap_message message = ParseCoap(datagram).value();
  if (message.type == message_type::kConfirmable) {
    coap_message ack;
    ack.type = message_type::kAcknowledgement;
    ack.id = message.id;
    Transmit(flow, SerializeCoap(ack));
  }
  const auto it = receiver.open.find(message.token);
  if (!IsResponse(message) || it == receiver.open.end() ||
      it->second.flow != flow || it->second.completed) {
    return;
  }
  it->second.completed = true;
  const caller::exchange exchange = it->second;
  const message_option* echo = FindOption(message, option_number::kEcho);
  if (message.code == kUnauthorizedCode && echo != nullptr) {
    SendRequest(caller_by_flow_[flow], exchange.call, echo->value);
    return;
  }
  RecordOutcome(exchange.call, message);
}

void request_simulation::RecordOutcome(int call, const coap_message& answer) {
  simulated_call& entry = calls_[call];
  ++entry.final_responses;
  entry.runs_at_response = runs_by_call_[call];
  if (answer.code == kContentCode || answer.code == kChangedCode) {
    entry.outcome = call_outcome::kAnswered;
    mismatched_responses_ += answer.payload == absl::StrCat("n=", call) ? 0 : 1;
  } else if (answer.code == kServiceUnavailableCode) {
    entry.outcome = call_outcome::kNotRun;
  } else if (answer.code == kGatewayTimeoutCode) {
    entry.outcome = call_outcome::kUnknown;
  } else {
    entry.outcome = call_outcome::kRefused;
  }
}

void request_simulation::CheckNotRunDecisions(const request_actions& actions) {
  for (size_t i = 0; i < actions.size(); ++i) {
    const auto* decision = std::get_if<request_decision>(&actions[i]);
    const bool is_not_run = decision != nullptr &&
                            decision->decision == decision_kind::kNotRun &&
                            decision->reason != decision_reason::kCallerGone;
    if (!is_not_run) {
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
    unanswered_not_run_ += answered ? 0 : 1;
  }
}

void request_simulation::ApplyActions(int index,
                                      const request_actions& actions) {
  CheckNotRunDecisions(actions);
  for (const request_action& action : actions) {
    if (const auto* sent = std::get_if<send_to_caller>(&action)) {
      const send_to_caller copy = *sent;
      if (!RandomChance(faults_.caller_loss_percent)) {
        ScheduleAt(now_ + RandomDelay(3000),
                   [=] { DeliverToCaller(copy.flow, copy.datagram); });
      }
    } else if (const auto* sent_upstream =
                   std::get_if<send_to_upstream>(&action)) {
      const send_to_upstream copy = *sent_upstream;
      if (!RandomChance(faults_.upstream_loss_percent)) {
        ScheduleAt(now_ + RandomDelay(300),
                   [=] { DeliverToUpstream(index, copy.leg, copy.datagram); });
      }
    } else if (const auto* idle = std::get_if<flow_idle>(&action)) {
      const flow_key flow = idle->flow;
      ScheduleAt(now_, [=] { HandOver(flow); });
    } else if (const auto* forward = std::get_if<forward_to_holder>(&action)) {
      const forward_to_holder copy = *forward;
      const int to = static_cast<int>(copy.holder) - 100;
      ScheduleAt(now_ + RandomDelay(3000), [=] {
        if (targets_[to]->alive) {
          ApplyActions(to, targets_[to]->core->OnForwardedMessage(
                               copy.flow, copy.datagram, now_));
        }
      });
    } else if (const auto* core_decision =
                   std::get_if<request_decision>(&action)) {
      if (core_decision->request != 0) {
        completions_[{index, core_decision->request}] +=
            CompletesRequest(core_decision->decision) ? 1 : 0;
      }
    }
  }
  ScheduleTick(index);
}

void request_simulation::ScheduleTick(int index) {
  target& tick_target = *targets_[index];
  const absl::Time due = tick_target.core->NextDeadline();
  if (due >= tick_target.next_tick_at) {
    return;
  }
  tick_target.next_tick_at = due;
  ScheduleAt(std::max(due, now_), [=] {
    target& due_target = *targets_[index];
    if (due_target.next_tick_at == due) {
      due_target.next_tick_at = absl::InfiniteFuture();
      if (due_target.alive) {
        ApplyActions(index, due_target.core->OnTick(now_));
      }
    }
  });
}

void request_simulation::DeliverToUpstream(int index, leg_id leg,
                                           const std::string& datagram) {
  target& destination = *targets_[index];
  if (++destination.messages_by_leg[leg] == 3 &&
      RandomChance(faults_.silent_leg_percent)) {
    destination.silent_legs.insert(leg);
  }
  if (!destination.alive || destination.silent_legs.count(leg) > 0) {
    return;
  }
  const coap_message request = ParseCoap(datagram).value();
  coap_message answer;
  answer.id = request.id;
  if (!IsRequest(request)) {
    if (request.type == message_type::kConfirmable) {
      answer.type = message_type::kReset;
      ScheduleAt(now_ + RandomDelay(300),
                 [=] { DeliverFromUpstream(index, leg, answer); });
    }
    return;
  }
  if (!destination.seen_message_ids.emplace(leg, request.id).second) {
    return;
  }
  answer.type = message_type::kAcknowledgement;
  const bool separate = RandomChance(50);
  if (separate) {
    ScheduleAt(now_ + RandomDelay(300),
               [=] { DeliverFromUpstream(index, leg, answer); });
    answer.type = message_type::kNonConfirmable;
    answer.id = static_cast<uint16_t>(random_());
  }
  answer.token = request.token;
  if (RandomChance(faults_.upstream_shed_percent)) {
    answer.code = kServiceUnavailableCode;
  } else {
    const std::string query =
        FindOption(request, option_number::kUriQuery)->value;
    int call = 0;
    if (absl::SimpleAtoi(query.substr(2), &call)) {
      ++runs_by_call_[call];
      ++total_runs_;
    }
    answer.code = request.code == kGetCode ? kContentCode : kChangedCode;
    answer.payload = query;
  }
  ScheduleAt(now_ + RandomDelay(faults_.max_run_ms * 1000),
             [=] { DeliverFromUpstream(index, leg, answer); });
}

void request_simulation::DeliverFromUpstream(int index, leg_id leg,
                                             const coap_message& message) {
  target& destination = *targets_[index];
  if (!destination.alive || destination.silent_legs.count(leg) > 0) {
    return;
  }
  const int copies =
      RandomChance(faults_.upstream_loss_percent) ? 0 : 1 + RandomChance(10);
  for (int i = 0; i < copies; ++i) {
    ApplyActions(index, destination.core->OnUpstreamMessage(
                            leg, SerializeCoap(message), now_));
  }
}

void request_simulation::Drain() {
  targets_[1]->core->OnLiveTargets({100, 101});
  ApplyActions(0, targets_[0]->core->BeginDrain(now_));
}

void request_simulation::HandOver(const flow_key& flow) {
  const auto state = targets_[0]->core->ExportFlow(flow, now_);
  if (!state) {
    return;
  }
  flows_in_transit_.insert(flow);
  ScheduleAt(now_ + RandomDelay(5000), [=] {
    auto imported = targets_[1]->core->ImportFlow(flow, *state, now_);
    flows_in_transit_.erase(flow);
    holder_by_flow_[flow] = 1;
    ApplyActions(1, imported.value());
  });
}

void request_simulation::Crash() {
  targets_[0]->alive = false;
  // The next view omits the crashed target, which moves its flows.
  ScheduleAt(now_ + RandomDelay(2000000), [this] {
    targets_[1]->core->OnLiveTargets({101});
    targets_[1]->core->OnTargetLost(now_);
    for (auto& [flow, index] : holder_by_flow_) {
      index = 1;
    }
  });
}

int request_simulation::DuplicateRuns() const {
  int duplicates = 0;
  for (const auto& [call, runs] : runs_by_call_) {
    duplicates += !calls_[call].idempotent && runs > 1 ? 1 : 0;
  }
  return duplicates;
}

int request_simulation::FalseNotRunResponses() const {
  int false_responses = 0;
  for (const auto& [call, runs] : runs_by_call_) {
    const bool reported_not_run = calls_[call].outcome == call_outcome::kNotRun;
    const int counted_runs =
        calls_[call].idempotent ? calls_[call].runs_at_response : runs;
    false_responses += reported_not_run && counted_runs > 0 ? 1 : 0;
  }
  return false_responses;
}

int request_simulation::WrongCompletions() const {
  int wrong = 0;
  for (const auto& [request, completion_count] : completions_) {
    const bool lost = request.first == 0 && !targets_[0]->alive;
    wrong += completion_count != 1 && !(lost && completion_count == 0) ? 1 : 0;
  }
  return wrong;
}

int request_simulation::Count(call_outcome outcome) const {
  int count = 0;
  for (const simulated_call& call : calls_) {
    count += call.outcome == outcome ? 1 : 0;
  }
  return count;
}

std::string request_simulation::Summary() const {
  return absl::StrCat(
      "runs ", Runs(), " answered ", Count(call_outcome::kAnswered),
      " not-run ", Count(call_outcome::kNotRun), " unknown ",
      Count(call_outcome::kUnknown), " refused ", Count(call_outcome::kRefused),
      " silent ", Count(call_outcome::kNoResponse), " | duplicates ",
      DuplicateRuns(), " false-not-run ", FalseNotRunResponses(), " crossed ",
      MismatchedResponses(), " late ", UnansweredNotRunDecisions(),
      " wrong-ends ", WrongCompletions());
}

}  // namespace cardamomroute::requests_test
