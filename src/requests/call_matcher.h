#ifndef CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_
#define CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "caller/coap_message.h"
#include "view/view.h"

namespace cardamomroute {

/// Result of matching a request against the call kinds of a service.
enum class match_verdict : uint8_t { kMatched, kPathUnknown, kMethodUnknown };

/// The matching call kind; `index` is valid only for kMatched.
struct call_match {
  match_verdict verdict = match_verdict::kPathUnknown;
  size_t index = 0;
};

/// Maps a request to a call kind by method and path. A service that lists no
/// calls accepts every method; the method then determines idempotence (RFC
/// 7252, section 5.8; RFC 8132).
class call_matcher {
 public:
  call_matcher();

  /// Replaces the active call kinds. Previously returned indexes stay valid.
  void SetCalls(std::vector<call_kind> calls);
  /// The call kind whose path is the longest prefix of the request's path.
  call_match Match(const coap_message& request) const;
  const call_kind& At(size_t index) const { return calls_[index].kind; }
  size_t size() const { return calls_.size(); }

 private:
  struct call_entry {
    call_kind kind;
    uint8_t method = 0;
    bool is_active = true;
  };

  void Add(call_kind kind);

  std::vector<call_entry> calls_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CALL_MATCHER_H_
