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

/// Final answers to requests that reached no request core. Another copy of
/// such a request may have taken another way and may run, so that only of one
/// which no request core runs can it be said that it was not run.
class refusal_writer {
 public:
  /// Takes the kinds of call of the services in the change.
  void OnChange(const view_change& change);
  void OnService(const service& item);

  /// An answer with Max-Age in seconds (RFC 7252, section 5.9.3.4): 5.03 to a
  /// request that needs an Echo value and has none, else 5.04. Empty when
  /// `datagram` is no request of RFC 7252.
  std::string Write(service_id service, std::string_view datagram,
                    uint32_t max_age_seconds) const;

 private:
  bool MayHaveRun(service_id service, const coap_message& request) const;

  absl::flat_hash_map<service_id, call_matcher> calls_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_REFUSAL_WRITER_H_
