#ifndef CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_
#define CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/time/time.h"

namespace cardamomroute::load {

/// What a caller was told about one request.
enum class outcome : uint8_t {
  kAnswered,
  kNotRun,
  kUnknown,
  kRefused,
  /// Nothing final came before the caller gave up.
  kLost,
  /// The answer to another request.
  kCrossed,
  /// An answer of another service.
  kWrongService,
};

inline constexpr size_t kOutcomes = 7;

/// Name of an outcome, as in reports.
std::string_view NameOf(outcome value);

/// A request whose outcome is known to its caller.
struct ended_request {
  std::string id;
  /// The caller's address and port, as in the logs of balancers and agents.
  std::string flow;
  /// Wall-clock time, as in logs.
  absl::Time sent_at;
  absl::Time ended_at;
  /// For example 504 for 5.04; 0 where no answer came.
  int code = 0;
  /// The answer has the request's token.
  bool has_token = false;
};

/// Counts of a caller process and the requests behind them.
class outcome_counts {
 public:
  /// Adds one request.
  void Add(outcome value, const ended_request& request);

  /// Adds one answer with this code, for example 503.
  void AddCode(int code) { ++codes_[code]; }

  void AddNotification() { ++notifications_; }
  void AddBrokenObservation() { ++broken_observations_; }
  void AddSkipped() { ++skipped_; }

  /// The whole as one JSON object: a count for each outcome, the ids of its
  /// requests, latency in ms, and all that is known of requests that were not
  /// answered.
  std::string ToJson() const;

 private:
  std::array<uint64_t, kOutcomes> counts_{};
  std::array<std::vector<std::string>, kOutcomes> ids_;
  std::vector<ended_request> unanswered_;
  std::vector<double> latencies_ms_;
  std::map<int, uint64_t> codes_;
  uint64_t notifications_ = 0;
  uint64_t broken_observations_ = 0;
  uint64_t skipped_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_
