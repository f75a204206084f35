#ifndef CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_
#define CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_

#include <algorithm>

namespace cardamomroute {

/// Token bucket that limits retries to a fraction of the traffic: each request
/// adds kTokensPerRequest tokens, each retry consumes one.
class retry_budget {
 public:
  /// Average number of retries per request.
  static constexpr double kTokensPerRequest = 0.1;
  /// Capacity of the bucket, in retries.
  static constexpr double kMaxTokens = 10.0;

  void OnRequest() {
    tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens);
  }
  /// Consumes one token; false if less than one is left.
  bool TryConsume() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  double tokens_ = kMaxTokens;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_RETRY_BUDGET_H_
