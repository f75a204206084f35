#include "load/upstream_model.h"

#include <algorithm>
#include <string_view>

#include "base/concat.h"

namespace cardamomroute::load {
namespace {

// EXCHANGE_LIFETIME of RFC 7252, section 4.8.2.
constexpr absl::Duration kExchangeLifetime = absl::Seconds(247);
constexpr std::string_view kIdPrefix = "id=";
constexpr uint8_t kBlockExponent = 6;
constexpr size_t kBlockBytes = 1024;

std::string RequestId(const coap_message& message) {
  for (const message_option& option : message.options) {
    if (option.number == static_cast<uint16_t>(option_number::kUriQuery) &&
        option.value.compare(0, kIdPrefix.size(), kIdPrefix) == 0) {
      return option.value.substr(kIdPrefix.size());
    }
  }
  return "";
}

bool IsRead(const coap_message& message) {
  return message.code == kGetCode || message.code == kFetchCode;
}

}  // namespace

upstream_model::upstream_model(upstream_behaviour behaviour)
    : behaviour_(std::move(behaviour)) {}

std::vector<outgoing_datagram> upstream_model::OnDatagram(
    const endpoint& remote, const std::string& bytes, absl::Time now) {
  const auto parsed = ParseCoap(bytes);
  if (parsed.has_error()) {
    return {};
  }
  const coap_message& message = parsed.value();
  if (message.type == message_type::kReset) {
    // The far side knows no such observation; its token is not in the reset.
    return TakeOutgoing();
  }
  if (message.code == kEmptyCode) {
    if (message.type == message_type::kConfirmable) {
      Send(remote, {message_type::kReset, kEmptyCode, message.id, "", {}, ""});
    }
    return TakeOutgoing();
  }
  if (IsRequest(message)) {
    OnRequest(remote, message, now);
  }
  return TakeOutgoing();
}

void upstream_model::OnRequest(const endpoint& remote,
                               const coap_message& message, absl::Time now) {
  if (message.type == message_type::kConfirmable) {
    Send(remote,
         {message_type::kAcknowledgement, kEmptyCode, message.id, "", {}, ""});
  }
  const exchange_key exchange(remote, message.id);
  if (!taken_.insert(exchange).second) {
    return;
  }
  taken_until_.emplace_back(now + kExchangeLifetime, exchange);
  request arrived{remote, message, RequestId(message), message.payload.size(),
                  DeadlineOf(message, now)};
  if (FindUint(message, option_number::kObserve) == 1U) {
    observers_.erase(observer_key(remote, message.token));
  }
  if (!behaviour_.report_path.empty() &&
      UriPath(message) == behaviour_.report_path) {
    AnswerReport(arrived, now);
    return;
  }
  if (!AbsorbBlock(&arrived, now)) {
    Admit(std::move(arrived), now);
  }
}

absl::Time upstream_model::DeadlineOf(const coap_message& message,
                                      absl::Time now) const {
  const auto left_ms =
      FindUint(message, static_cast<option_number>(behaviour_.deadline_option));
  return behaviour_.deadline_option != 0 && left_ms.has_value()
             ? now + absl::Milliseconds(*left_ms)
             : absl::InfiniteFuture();
}

void upstream_model::AnswerReport(const request& asked, absl::Time now) {
  if (now >= reported_at_ + absl::Milliseconds(behaviour_.report_lag_ms)) {
    reported_at_ = now;
    reported_busy_ = running_.size();
  }
  coap_message response = Response(asked, kContentCode);
  response.payload =
      !behaviour_.report_lie.empty()
          ? behaviour_.report_lie
          : Concat("{\"slots\": ", behaviour_.slots,
                   ", \"busy\": ", reported_busy_, ", \"healthy\": true}");
  Send(asked.remote, response);
}

bool upstream_model::AbsorbBlock(request* arrived, absl::Time /*now*/) {
  const auto block = FindBlock(arrived->message, option_number::kBlock1);
  if (!block.has_value()) {
    return false;
  }
  const observer_key key(arrived->remote, arrived->id);
  uint64_t& received = uploads_[key];
  received =
      block->number == 0 ? arrived->body_bytes : received + arrived->body_bytes;
  arrived->body_bytes = received;
  if (!block->more) {
    uploads_.erase(key);
    return false;
  }
  coap_message response = Response(*arrived, kContinueCode);
  SetOption(&response, option_number::kBlock1, EncodeBlock(*block));
  response.payload.clear();
  Send(arrived->remote, response);
  return true;
}

void upstream_model::Admit(request arrived, absl::Time now) {
  const auto block = FindBlock(arrived.message, option_number::kBlock2);
  const bool later_block = block.has_value() && block->number > 0;
  if (later_block) {
    // Part of a transfer whose first block has run.
    Answer(arrived, kContentCode);
    return;
  }
  if (waiting_.size() >= behaviour_.queue) {
    Answer(arrived, kServiceUnavailableCode);
    return;
  }
  waiting_.push_back(std::move(arrived));
  StartWaiting(now);
}

void upstream_model::StartWaiting(absl::Time now) {
  while (running_.size() < behaviour_.slots && !waiting_.empty()) {
    Start(std::move(waiting_.front()), now);
    waiting_.pop_front();
  }
}

void upstream_model::Start(request work, absl::Time now) {
  if (work.deadline <= now) {
    Answer(work, kGatewayTimeoutCode);
    return;
  }
  runs_.push_back(work.id);
  const absl::Time done_at = now + absl::Milliseconds(behaviour_.run_ms);
  running_.push_back({std::move(work), done_at});
}

std::vector<outgoing_datagram> upstream_model::OnTick(absl::Time now) {
  FinishDue(now);
  StartWaiting(now);
  NotifyDue(now);
  while (!taken_until_.empty() && taken_until_.front().first <= now) {
    taken_.erase(taken_until_.front().second);
    taken_until_.pop_front();
  }
  return TakeOutgoing();
}

void upstream_model::FinishDue(absl::Time now) {
  const auto due = std::stable_partition(
      running_.begin(), running_.end(), [now](const running_request& run) {
        return std::min(run.done_at, run.work.deadline) > now;
      });
  std::for_each(due, running_.end(),
                [this](const running_request& run) { Finish(run); });
  running_.erase(due, running_.end());
}

void upstream_model::Finish(const running_request& run) {
  const request& work = run.work;
  if (work.deadline < run.done_at) {
    Answer(work, kGatewayTimeoutCode);
    return;
  }
  if (FindUint(work.message, option_number::kObserve) == 0U) {
    Register(work);
  }
  Answer(work, IsRead(work.message) ? kContentCode : kChangedCode);
}

void upstream_model::Register(const request& work) {
  observers_[observer_key(work.remote, work.message.token)] = {work, 1};
}

void upstream_model::NotifyDue(absl::Time now) {
  if (now < next_notification_) {
    return;
  }
  next_notification_ = now + absl::Milliseconds(behaviour_.notify_ms);
  for (auto& [key, watching] : observers_) {
    coap_message note = Response(watching.registration, kContentCode);
    note.type = message_type::kNonConfirmable;
    SetOption(&note, option_number::kObserve, EncodeUint(++watching.sequence));
    Send(watching.registration.remote, note);
  }
}

absl::Time upstream_model::NextDeadline() const {
  absl::Time next =
      observers_.empty() ? absl::InfiniteFuture() : next_notification_;
  for (const running_request& run : running_) {
    next = std::min({next, run.done_at, run.work.deadline});
  }
  return next;
}

void upstream_model::Answer(const request& work, uint8_t code) {
  coap_message response = Response(work, code);
  if (code == kContentCode && !behaviour_.download_path.empty() &&
      UriPath(work.message) == behaviour_.download_path) {
    AddFileBlock(work, &response);
  }
  const auto block1 = FindBlock(work.message, option_number::kBlock1);
  if (block1.has_value()) {
    SetOption(&response, option_number::kBlock1, EncodeBlock(*block1));
  }
  if (IsObserved(work)) {
    SetOption(&response, option_number::kObserve, EncodeUint(1));
  }
  Send(work.remote, response);
}

bool upstream_model::IsObserved(const request& work) const {
  const auto found =
      observers_.find(observer_key(work.remote, work.message.token));
  return found != observers_.end() &&
         UriPath(found->second.registration.message) == UriPath(work.message);
}

coap_message upstream_model::Response(const request& work, uint8_t code) const {
  coap_message response;
  response.type = message_type::kNonConfirmable;
  response.code = code;
  response.token = work.message.token;
  response.payload = Body(work);
  return response;
}

std::string upstream_model::Body(const request& work) const {
  return Concat("id=", work.id, " service=", behaviour_.service,
                " target=", behaviour_.name, " bytes=", work.body_bytes, " \n");
}

void upstream_model::AddFileBlock(const request& work,
                                  coap_message* response) const {
  std::string file = Body(work);
  file.resize(behaviour_.download_bytes, '.');
  const auto asked = FindBlock(work.message, option_number::kBlock2);
  block_value block = asked.value_or(block_value{0, false, kBlockExponent});
  const size_t block_bytes =
      std::min<size_t>(size_t{1} << (block.size_exponent + 4), kBlockBytes);
  const size_t from = std::min(block.number * block_bytes, file.size());
  block.more = from + block_bytes < file.size();
  response->payload = file.substr(from, block_bytes);
  SetOption(response, option_number::kEtag, "1");
  SetOption(response, option_number::kBlock2, EncodeBlock(block));
}

void upstream_model::Send(const endpoint& remote, const coap_message& message) {
  coap_message sent = message;
  if (sent.type == message_type::kNonConfirmable) {
    sent.id = next_message_id_++;
  }
  outgoing_.push_back({remote, SerializeCoap(sent)});
}

std::vector<outgoing_datagram> upstream_model::TakeOutgoing() {
  return std::exchange(outgoing_, {});
}

std::vector<std::string> upstream_model::TakeRuns() {
  return std::exchange(runs_, {});
}

}  // namespace cardamomroute::load
