#ifndef CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_
#define CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "caller/coap_message.h"
#include "view/view.h"

namespace cardamomroute {

/// How a request compares with the kinds of call of a service.
enum class match_verdict : uint8_t { kMatched, kPathUnknown, kMethodUnknown };

/// The kind found; `index` counts only when matched.
struct call_match {
  match_verdict verdict = match_verdict::kPathUnknown;
  size_t index = 0;
};

/// Finds the kind of call that a request is of. A service that lists no
/// calls takes every method; then the method tells whether it is idempotent
/// (RFC 7252, section 5.8; RFC 8132).
class call_matcher {
 public:
  call_matcher();

  /// Replaces the kinds in use. Indexes given out before stay valid.
  void SetCalls(std::vector<call_kind> calls);
  /// The kind with the longest path that holds the request's path.
  call_match Match(const coap_message& request) const;
  const call_kind& At(size_t index) const { return calls_[index].kind; }
  size_t size() const { return calls_.size(); }

 private:
  struct known_call {
    call_kind kind;
    uint8_t method = 0;
    bool in_use = true;
  };

  void Add(call_kind kind);

  std::vector<known_call> calls_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_
