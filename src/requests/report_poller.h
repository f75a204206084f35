#ifndef CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_
#define CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "requests/upstream_report.h"

namespace cardamomroute {

/// Outcome of a received datagram or of a poll.
enum class poll_verdict : uint8_t {
  /// Not a response, for example an empty acknowledgement.
  kNone,
  /// A valid report.
  kTaken,
  /// Answers an earlier poll, or arrived after the timeout.
  kLate,
  /// The response code is not 2.05.
  kRefused,
  /// The payload is not a valid report.
  kAbsurd,
  /// The poll was still unanswered when the next one was due.
  kMissing,
};

/// The name of a verdict in log lines, for example "late".
std::string_view NameOf(poll_verdict verdict);

/// Result of processing a datagram from the upstream.
struct poll_result {
  poll_verdict verdict = poll_verdict::kNone;
  /// Valid only for kTaken.
  upstream_report report;
  /// When the poll was sent.
  absl::Time asked_at;
  /// Datagram to send to the upstream; empty for none.
  std::string reply;
};

/// Polls an upstream for its report with a non-confirmable GET (RFC 7252,
/// section 5.2.3) every kPollInterval, with one poll pending at a time. Uses no
/// sockets and no clock.
class report_poller {
 public:
  static constexpr absl::Duration kPollInterval = absl::Seconds(1);
  /// How long after a poll its answer is accepted.
  static constexpr absl::Duration kResponseTimeout = absl::Milliseconds(500);

  /// `path` must begin with a slash; `seed` makes tokens hard to guess.
  report_poller(const std::string& path, uint64_t seed);

  /// Returns the poll to send if one is due. A poll still pending then counts
  /// as missed.
  std::optional<std::string> TakeDuePoll(absl::Time now);
  /// When the next poll is due.
  absl::Time NextDeadline() const { return next_poll_; }
  /// Processes a datagram from the upstream.
  poll_result OnDatagram(std::string_view datagram, absl::Time now);
  /// Number of consecutive polls without any answer.
  uint32_t missed() const { return missed_; }

 private:
  std::string path_;
  uint64_t seed_;
  uint64_t polls_ = 0;
  std::string token_;
  bool is_pending_ = false;
  uint32_t missed_ = 0;
  absl::Time asked_at_ = absl::InfinitePast();
  absl::Time next_poll_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REPORT_POLLER_H_
