#include "requests/report_reader.h"

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
              static_cast<size_t>(report_verdict::kMissing) + 1);

std::string MakeToken(uint64_t seed, uint64_t question) {
  const uint64_t bits = XXH64(&question, sizeof(question), seed);
  std::string token(sizeof(bits), '\0');
  std::memcpy(token.data(), &bits, sizeof(bits));
  return token;
}

}  // namespace

std::string_view NameOf(report_verdict verdict) {
  return kVerdictNames[static_cast<size_t>(verdict)];
}

report_reader::report_reader(const std::string& path, uint64_t seed)
    : path_(path), seed_(seed) {}

std::optional<std::string> report_reader::TakeQuestion(absl::Time now) {
  if (now < next_question_) {
    return std::nullopt;
  }
  missed_ += is_awaited_ ? 1 : 0;
  is_awaited_ = true;
  asked_at_ = now;
  next_question_ = now + kInterval;
  token_ = MakeToken(seed_, ++questions_);
  coap_message question;
  question.type = message_type::kNonConfirmable;
  question.code = kGetCode;
  question.id = static_cast<uint16_t>(questions_);
  question.token = token_;
  for (const auto& segment : absl::StrSplit(path_, '/', absl::SkipEmpty())) {
    AddOption(&question, option_number::kUriPath,
              std::string_view(segment.data(), segment.size()));
  }
  return SerializeCoap(question);
}

report_reading report_reader::OnDatagram(std::string_view datagram,
                                         absl::Time now) {
  report_reading reading;
  const auto answer = ParseCoap(datagram);
  if (!answer || !IsResponse(answer.value())) {
    return reading;
  }
  const coap_message& message = answer.value();
  if (message.type == message_type::kConfirmable) {
    reading.reply = SerializeCoap(
        MakeEmptyMessage(message_type::kAcknowledgement, message.id));
  }
  if (!is_awaited_ || message.token != token_) {
    reading.verdict = report_verdict::kLate;
    return reading;
  }
  is_awaited_ = false;
  missed_ = 0;
  reading.asked_at = asked_at_;
  if (now > asked_at_ + kPatience) {
    reading.verdict = report_verdict::kLate;
  } else if (message.code != kContentCode) {
    reading.verdict = report_verdict::kRefused;
  } else if (const auto report = ParseReport(message.payload)) {
    reading.verdict = report_verdict::kTaken;
    reading.report = report.value();
  } else {
    reading.verdict = report_verdict::kAbsurd;
  }
  return reading;
}

}  // namespace cardamomroute
