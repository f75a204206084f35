#ifndef CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_
#define CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

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

/// Counts of a caller process and the requests behind them.
class outcome_counts {
 public:
  /// Adds one request with the time from sending to the final answer.
  void Add(outcome value, const std::string& request_id, double latency_ms);

  /// Adds one answer with this code, for example 503.
  void AddCode(int code) { ++codes_[code]; }

  void AddNotification() { ++notifications_; }
  void AddBrokenObservation() { ++broken_observations_; }
  void AddSkipped() { ++skipped_; }

  /// The whole as one JSON object: a count for each outcome, ids of the
  /// requests that were reported as not run or answered, latency in ms.
  std::string ToJson() const;

 private:
  std::array<uint64_t, kOutcomes> counts_{};
  std::array<std::vector<std::string>, kOutcomes> ids_;
  std::vector<double> latencies_ms_;
  std::map<int, uint64_t> codes_;
  uint64_t notifications_ = 0;
  uint64_t broken_observations_ = 0;
  uint64_t skipped_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_OUTCOME_COUNTS_H_
