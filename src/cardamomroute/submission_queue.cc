#include "cardamomroute/submission_queue.h"

#include <algorithm>
#include <utility>

#include "base/concat.h"

namespace cardamomroute {
namespace {

// Assumed until a text has been checked.
constexpr double kFirstBytesPerSecond = 20e6;

// The time for a smaller text says little about the rate.
constexpr size_t kLeastBytesToJudge = 64 << 10;

// Weight of the last text in the rate.
constexpr double kLastWeight = 0.5;

}  // namespace

submission_queue::submission_queue()
    : bytes_per_second_(kFirstBytesPerSecond) {}

result<void> submission_queue::Put(const std::string& client,
                                   const inner::operator_request& request,
                                   absl::Time now) {
  const size_t bytes = request.text().size();
  const bool is_full = waiting_.size() >= kMaxWaitingTexts ||
                       waiting_bytes_ + bytes > kMaxWaitingBytes;
  if (is_full && !waiting_.empty()) {
    const absl::Duration wait = DoneAt(now) - now;
    return error{error_kind::kBusy, "",
                 Concat("earlier texts are being checked; ask again in ",
                        absl::ToInt64Milliseconds(
                            absl::Ceil(wait, absl::Milliseconds(1))),
                        " ms")};
  }
  waiting_.push_back({client, request});
  waiting_bytes_ += bytes;
  return boost::outcome_v2::success();
}

std::optional<submission_queue::submission> submission_queue::Take(
    absl::Time now) {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  submission next = std::move(waiting_.front());
  waiting_.pop_front();
  begun_bytes_ = next.request.text().size();
  begun_at_ = now;
  waiting_bytes_ -= begun_bytes_;
  return next;
}

void submission_queue::Finish(absl::Time now) {
  if (begun_bytes_ >= kLeastBytesToJudge && now > begun_at_) {
    const double rate = static_cast<double>(begun_bytes_) /
                        absl::ToDoubleSeconds(now - begun_at_);
    bytes_per_second_ += kLastWeight * (rate - bytes_per_second_);
  }
  begun_bytes_ = 0;
}

absl::Duration submission_queue::TimeFor(size_t bytes) const {
  return absl::Seconds(static_cast<double>(bytes) / bytes_per_second_);
}

absl::Time submission_queue::DoneAt(absl::Time now) const {
  const absl::Time begun_done =
      begun_bytes_ > 0 ? begun_at_ + TimeFor(begun_bytes_) : now;
  return std::max(begun_done, now) + TimeFor(waiting_bytes_);
}

}  // namespace cardamomroute
