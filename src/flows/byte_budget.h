#ifndef CARDAMOMROUTE_FLOWS_BYTE_BUDGET_H_
#define CARDAMOMROUTE_FLOWS_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>

#include "absl/time/time.h"

namespace cardamomroute {

/// Bounds what is sent by a token bucket. What is left may become negative by
/// the last that was sent.
class byte_budget {
 public:
  /// Bytes a second in the long run, and at once after a pause.
  byte_budget(double bytes_a_second, double burst_bytes)
      : bytes_a_second_(bytes_a_second),
        burst_bytes_(burst_bytes),
        left_(burst_bytes) {}

  /// Whether something may be sent.
  bool Allows(absl::Time now) {
    const absl::Duration passed = now - filled_at_;
    if (passed > absl::ZeroDuration()) {
      left_ = std::min(burst_bytes_,
                       left_ + absl::ToDoubleSeconds(passed) * bytes_a_second_);
      filled_at_ = now;
    }
    return left_ > 0;
  }

  void Spend(size_t bytes) { left_ -= static_cast<double>(bytes); }

  /// When something may be sent again, where it may not now.
  absl::Time AllowsFrom() const {
    return filled_at_ + absl::Seconds(std::max(0.0, -left_) / bytes_a_second_) +
           absl::Milliseconds(1);
  }

 private:
  const double bytes_a_second_;
  const double burst_bytes_;
  double left_;
  absl::Time filled_at_ = absl::InfinitePast();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_BYTE_BUDGET_H_
