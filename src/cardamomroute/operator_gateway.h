#ifndef CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_GATEWAY_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_GATEWAY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// When a request that could not be served by then is answered with what is
/// known. Operators give up on a VM after a second.
inline constexpr absl::Duration kGatewayTimeout = absl::Milliseconds(800);

/// How long a request waits before the group is asked again.
inline constexpr absl::Duration kGatewayRetry = absl::Milliseconds(60);

/// Requests that wait at most.
inline constexpr size_t kGatewayRequests = 64;

/// What became of an operator's request.
struct gateway_outcome {
  enum class kind : uint8_t {
    kDone,
    /// Another member leads; its address is in `answer.leader()`.
    kElsewhere,
    kUnavailable,
  };
  uint64_t request = 0;
  kind what = kind::kUnavailable;
  inner::operator_answer answer;
};

/// Carries operators' requests about the configuration to the group's member in
/// this process. While the group has no leader, a request waits a moment
/// instead of being sent away. Repeats are harmless: a version is put once.
class operator_gateway {
 public:
  /// Begins a request and returns its number. Fails with 0 where too many wait.
  uint64_t Begin(inner::operator_request request, absl::Time now);

  /// What is to be asked of the member now.
  std::vector<inner::operator_request> TakeDue(absl::Time now);

  void OnAnswer(const inner::operator_answer& answer, absl::Time now);

  /// Requests that are over.
  std::vector<gateway_outcome> TakeOutcomes(absl::Time now);

  absl::Time NextDeadline() const;

 private:
  struct waiting_request {
    inner::operator_request request;
    absl::Time deadline;
    /// When to ask; infinite while an answer is awaited.
    absl::Time due;
    /// The last answer that was of no use.
    inner::operator_answer last;
  };

  uint64_t next_request_ = 1;
  std::map<uint64_t, waiting_request> waiting_;
  std::vector<gateway_outcome> outcomes_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_OPERATOR_GATEWAY_H_
