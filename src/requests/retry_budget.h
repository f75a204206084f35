#ifndef CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_
#define CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace cardamomroute {

/// Limits retries to a share of the traffic: a token bucket that requests
/// fill and retries empty.
class retry_budget {
 public:
  /// Retries allowed for each request, on average.
  static constexpr double kShare = 0.1;
  /// Retries that may be saved up.
  static constexpr double kMost = 10.0;

  void OnRequest() { tokens_ = std::min(tokens_ + kShare, kMost); }
  /// Takes one retry; false when none is left.
  bool TryConsume() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double tokens_ = kMost;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_
