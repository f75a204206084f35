#ifndef CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_
#define CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "requests/upstream_report.h"

namespace cardamomroute {

/// What became of a datagram or of a question.
enum class poll_verdict : uint8_t {
  /// No answer to a question, for example an empty acknowledgement.
  kNone,
  kTaken,
  /// An answer to a former question, or past the deadline.
  kLate,
  /// Another code than 2.05.
  kRefused,
  /// Not a report, or one that cannot be true.
  kAbsurd,
  /// The question had no answer when the next one was due.
  kMissing,
};

/// The name of a verdict in logs, for example "late".
std::string_view NameOf(poll_verdict verdict);

/// What a datagram of the upstream says.
struct poll_result {
  poll_verdict verdict = poll_verdict::kNone;
  /// kTaken only.
  upstream_report report;
  absl::Time asked_at;
  /// A datagram to send back; empty for none.
  std::string reply;
};

/// Asks an upstream for its report: a non-confirmable GET (RFC 7252, section
/// 5.2.3) at an interval, one question at a time. No sockets, no clock.
class report_poller {
 public:
  static constexpr absl::Duration kInterval = absl::Seconds(1);
  /// From the question to the last moment at which its answer is taken.
  static constexpr absl::Duration kPatience = absl::Milliseconds(500);

  /// `path` begins with a slash; `seed` makes tokens hard to guess.
  report_poller(const std::string& path, uint64_t seed);

  /// The question that is due, if one is.
  std::optional<std::string> TakeDuePoll(absl::Time now);
  /// When the next question is due.
  absl::Time NextDeadline() const { return next_question_; }
  /// A datagram that came from the upstream.
  poll_result OnDatagram(std::string_view datagram, absl::Time now);
  /// Questions in a row that had no answer of any kind.
  uint32_t missed() const { return missed_; }

 private:
  std::string path_;
  uint64_t seed_;
  uint64_t questions_ = 0;
  std::string token_;
  bool is_awaited_ = false;
  uint32_t missed_ = 0;
  absl::Time asked_at_ = absl::InfinitePast();
  absl::Time next_question_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_
