#include "requests/report_poller.h"

#include <xxhash.h>

#include <array>
#include <cstring>

#include "absl/strings/str_split.h"
#include "caller/coap_message.h"
#include "requests/request_answers.h"

namespace cardamomroute {
namespace {

constexpr std::array<std::string_view, 6> kVerdictNames = {
    "none", "taken", "late", "refused", "absurd", "missing"};

static_assert(kVerdictNames.size() ==
              static_cast<size_t>(poll_verdict::kMissing) + 1);

std::string MakeToken(uint64_t seed, uint64_t poll) {
  const uint64_t bits = XXH64(&poll, sizeof(poll), seed);
  std::string token(sizeof(bits), '\0');
  std::memcpy(token.data(), &bits, sizeof(bits));
  return token;
}

}  // namespace

std::string_view NameOf(poll_verdict verdict) {
  return kVerdictNames[static_cast<size_t>(verdict)];
}

report_poller::report_poller(const std::string& path, uint64_t seed)
    : path_(path), seed_(seed) {}

std::optional<std::string> report_poller::TakeDuePoll(absl::Time now) {
  if (now < next_poll_) {
    return std::nullopt;
  }
  missed_ += is_pending_ ? 1 : 0;
  is_pending_ = true;
  asked_at_ = now;
  next_poll_ = now + kPollInterval;
  token_ = MakeToken(seed_, ++polls_);
  coap_message poll;
  poll.type = message_type::kNonConfirmable;
  poll.code = kGetCode;
  poll.id = static_cast<uint16_t>(polls_);
  poll.token = token_;
  for (const auto& segment : absl::StrSplit(path_, '/', absl::SkipEmpty())) {
    AddOption(&poll, option_number::kUriPath,
              std::string_view(segment.data(), segment.size()));
  }
  return SerializeCoap(poll);
}

poll_result report_poller::OnDatagram(std::string_view datagram,
                                      absl::Time now) {
  poll_result outcome;
  const auto answer = ParseCoap(datagram);
  if (!answer || !IsResponse(answer.value())) {
    return outcome;
  }
  const coap_message& message = answer.value();
  if (message.type == message_type::kConfirmable) {
    outcome.reply = SerializeCoap(
        MakeEmptyMessage(message_type::kAcknowledgement, message.id));
  }
  if (!is_pending_ || message.token != token_) {
    outcome.verdict = poll_verdict::kLate;
    return outcome;
  }
  is_pending_ = false;
  missed_ = 0;
  outcome.asked_at = asked_at_;
  if (now > asked_at_ + kResponseTimeout) {
    outcome.verdict = poll_verdict::kLate;
  } else if (message.code != kContentCode) {
    outcome.verdict = poll_verdict::kRefused;
  } else if (const auto report = ParseReport(message.payload)) {
    outcome.verdict = poll_verdict::kTaken;
    outcome.report = report.value();
  } else {
    outcome.verdict = poll_verdict::kAbsurd;
  }
  return outcome;
}

}  // namespace cardamomroute
