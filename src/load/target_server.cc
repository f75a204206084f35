#include "load/target_server.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "caller/coap_message.h"
#include "requests/request_core.h"

namespace cardamomroute::load {
namespace {

// What a request asks of the upstream: its number and its running time.
struct asked_work {
  size_t request = 0;
  absl::Duration run;
};

asked_work ReadWork(const coap_message& message) {
  asked_work work;
  const message_option* query = FindOption(message, option_number::kUriQuery);
  if (query == nullptr) {
    return work;
  }
  const std::vector<std::string> parts = absl::StrSplit(query->value, '.');
  int64_t microseconds = 0;
  if (parts.size() == 2 && absl::SimpleAtoi(parts[0], &work.request) &&
      absl::SimpleAtoi(parts[1], &microseconds)) {
    work.run = absl::Microseconds(microseconds);
  }
  return work;
}

coap_message AnswerTo(const coap_message& request) {
  coap_message answer;
  answer.type = message_type::kAcknowledgement;
  answer.id = request.id;
  answer.token = request.token;
  answer.code = request.code == kGetCode ? kContentCode : kChangedCode;
  answer.payload = absl::StrCat(ReadWork(request).request);
  return answer;
}

// Slots that run requests in the order in which they come.
template <class Origin>
class slot_runner {
 public:
  struct entry {
    Origin origin;
    coap_message message;
  };

  explicit slot_runner(uint32_t slots) : slots_(slots) {}

  size_t Waiting() const { return waiting_.size(); }
  size_t Size() const { return waiting_.size() + running_.size(); }
  void Add(entry added, absl::Time now) {
    waiting_.push_back(std::move(added));
    StartWaiting(now);
  }
  absl::Time NextDeadline() const {
    return running_.empty() ? absl::InfiniteFuture() : running_.begin()->first;
  }
  std::vector<entry> TakeFinished(absl::Time now,
                                  std::vector<finished_run>* runs) {
    std::vector<entry> finished;
    while (!running_.empty() && running_.begin()->first <= now) {
      const auto first = running_.begin();
      const asked_work work = ReadWork(first->second.message);
      runs->push_back({work.request, work.run});
      finished.push_back(std::move(first->second));
      running_.erase(first);
      StartWaiting(now);
    }
    return finished;
  }

 private:
  void StartWaiting(absl::Time now) {
    while (running_.size() < slots_ && !waiting_.empty()) {
      const absl::Time end = now + ReadWork(waiting_.front().message).run;
      running_.emplace(end, std::move(waiting_.front()));
      waiting_.pop_front();
    }
  }

  uint32_t slots_;
  std::deque<entry> waiting_;
  std::multimap<absl::Time, entry> running_;
};

// A request core before its upstream.
class core_server : public target_server {
 public:
  core_server(target_id id, uint32_t slots, uint64_t seed)
      : slots_(slots), core_(Settings(id, slots, seed)), upstream_(slots) {
    core_.OnServiceCalls(SimulatedCalls());
  }

  server_output OnCaller(const flow_key& flow, const std::string& datagram,
                         bool forwarded, absl::Time now) override {
    return Take(forwarded ? core_.OnForwardedMessage(flow, datagram, now)
                          : core_.OnCallerMessage(flow, datagram, now),
                now);
  }
  server_output OnTick(absl::Time now) override {
    server_output output;
    for (const auto& done : upstream_.TakeFinished(now, &output.runs)) {
      const std::string answer = SerializeCoap(AnswerTo(done.message));
      Append(core_.OnUpstreamMessage(done.origin, answer, now), now, &output);
    }
    Append(core_.OnTick(now), now, &output);
    return output;
  }
  absl::Time NextDeadline() const override {
    return std::min(core_.NextDeadline(), upstream_.NextDeadline());
  }
  double Load() const override {
    const request_load load = core_.Load();
    return static_cast<double>(load.used + load.queued) / slots_;
  }
  void OnLive(const absl::flat_hash_set<target_id>& live, bool lost,
              absl::Time now) override {
    core_.OnLiveTargets(live);
    if (lost) {
      core_.OnTargetLost(now);
    }
  }
  server_output BeginDrain(absl::Time now) override {
    return Take(core_.BeginDrain(now), now);
  }
  std::string Export(const flow_key& flow, absl::Time now) override {
    return core_.ExportFlow(flow, now).value_or(std::string());
  }
  server_output Import(const flow_key& flow, const std::string& state,
                       absl::Time now) override {
    auto imported = core_.ImportFlow(flow, state, now);
    return imported ? Take(imported.value(), now) : server_output();
  }

 private:
  static request_core_settings Settings(target_id id, uint32_t slots,
                                        uint64_t seed) {
    request_core_settings settings;
    settings.incarnation = id;
    settings.slots = slots;
    settings.queue_capacity = kSimulatedQueuePerSlot * slots;
    settings.seed = seed;
    settings.echo_key = absl::StrCat("key of target ", id, " in a simulation");
    return settings;
  }

  server_output Take(const request_actions& actions, absl::Time now) {
    server_output output;
    Append(actions, now, &output);
    return output;
  }
  void Append(const request_actions& actions, absl::Time now,
              server_output* output) {
    for (const request_action& action : actions) {
      if (const auto* answer = std::get_if<send_to_caller>(&action)) {
        output->to_callers.emplace_back(answer->flow, answer->datagram);
      } else if (const auto* sent = std::get_if<send_to_upstream>(&action)) {
        ToUpstream(*sent, now);
      } else if (const auto* idle = std::get_if<flow_idle>(&action)) {
        output->idle.push_back(idle->flow);
      } else if (const auto* away = std::get_if<forward_to_holder>(&action)) {
        output->forwarded.emplace_back(away->flow, away->datagram);
        output->forwarded_to.push_back(away->holder);
      }
    }
  }
  void ToUpstream(const send_to_upstream& sent, absl::Time now) {
    const coap_message message = ParseCoap(sent.datagram).value();
    const bool first = seen_.emplace(sent.leg, message.id).second;
    if (IsRequest(message) && first) {
      upstream_.Add({sent.leg, message}, now);
    }
  }

  uint32_t slots_;
  request_core core_;
  slot_runner<leg_id> upstream_;
  std::set<std::pair<leg_id, uint16_t>> seen_;
};

// First come, first served, with the target's own queue.
class plain_server : public target_server {
 public:
  plain_server(uint32_t slots, size_t bound)
      : slots_(slots), bound_(bound), runner_(slots) {}

  server_output OnCaller(const flow_key& flow, const std::string& datagram,
                         bool /*forwarded*/, absl::Time now) override {
    server_output output;
    const coap_message message = ParseCoap(datagram).value();
    if (!IsRequest(message)) {
      return output;
    }
    if (runner_.Waiting() < bound_) {
      runner_.Add({flow, message}, now);
      return output;
    }
    coap_message busy = AnswerTo(message);
    busy.code = kServiceUnavailableCode;
    SetOption(&busy, option_number::kMaxAge, EncodeUint(1));
    output.to_callers.emplace_back(flow, SerializeCoap(busy));
    return output;
  }
  server_output OnTick(absl::Time now) override {
    server_output output;
    for (const auto& done : runner_.TakeFinished(now, &output.runs)) {
      output.to_callers.emplace_back(done.origin,
                                     SerializeCoap(AnswerTo(done.message)));
    }
    return output;
  }
  absl::Time NextDeadline() const override { return runner_.NextDeadline(); }
  double Load() const override {
    return static_cast<double>(runner_.Size()) / slots_;
  }

 private:
  uint32_t slots_;
  size_t bound_;
  slot_runner<flow_key> runner_;
};

call_kind Call(const char* name, const char* method, const char* path,
               call_class urgency, bool idempotent, uint32_t timeout_ms) {
  call_kind call;
  call.name = name;
  call.method = method;
  call.path = path;
  call.urgency = urgency;
  call.idempotent = idempotent;
  call.timeout_ms = timeout_ms;
  return call;
}

}  // namespace

const std::vector<call_kind>& SimulatedCalls() {
  static const std::vector<call_kind> kCalls = {
      Call("non_idempotent_call", "POST", "/calls", call_class::kCritical,
           false, 2000),
      Call("idempotent_call", "GET", "/reads", call_class::kUrgent, true, 2000),
      Call("upload", "PUT", "/uploads", call_class::kOrdinary, true, 5000),
  };
  return kCalls;
}

std::unique_ptr<target_server> MakeServer(server_kind kind, target_id id,
                                          uint32_t slots, uint64_t seed) {
  switch (kind) {
    case server_kind::kRequestCore:
      return std::make_unique<core_server>(id, slots, seed);
    case server_kind::kFirstComeFirstServed:
      return std::make_unique<plain_server>(slots,
                                            kSimulatedQueuePerSlot * slots);
    case server_kind::kNoLimit:
      return std::make_unique<plain_server>(slots, SIZE_MAX);
  }
  return nullptr;
}

}  // namespace cardamomroute::load
