#ifndef CARDAMOMROUTE_REQUESTS_REFUSAL_WRITER_H_
#define CARDAMOMROUTE_REQUESTS_REFUSAL_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "requests/call_matcher.h"
#include "view/view.h"

namespace cardamomroute {

struct view_change;

/// Builds final error answers for requests that did not reach a request core.
/// Another copy of such a request may reach one by another path and run. The
/// answer therefore states that the request was not run only if no request
/// core would run it.
class refusal_writer {
 public:
  /// Updates the call kinds of all services in the change.
  void OnChange(const view_change& change);
  /// Replaces the call kinds of one service.
  void OnService(const service& item);

  /// Returns an answer with Max-Age in seconds (RFC 7252,
  /// section 5.9.3.4): 5.03 if the request requires an Echo value and has none,
  /// otherwise 5.04. Empty if `datagram` is not a CoAP request.
  std::string Write(service_id service, std::string_view datagram,
                    uint32_t max_age_seconds) const;

 private:
  bool MayHaveRun(service_id service, const coap_message& request) const;

  absl::flat_hash_map<service_id, call_matcher> calls_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REFUSAL_WRITER_H_
