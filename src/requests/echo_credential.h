#ifndef CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_
#define CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace cardamomroute {

/// What a successor needs to check the Echo values that a former holder
/// issued to one flow, and none of its other flows.
struct echo_credential {
  /// Key of that flow alone.
  std::string key;
  /// Values with a lower serial number were withdrawn.
  uint64_t first_valid_serial = 0;
  /// The issuer's clock, which is not ours, read `issuer_now` at our `read_at`.
  absl::Time issuer_now;
  absl::Time read_at;
};

/// A credential that came with a flow, until nobody can need it any more.
struct inherited_credential {
  echo_credential issuer;
  absl::Time expires_at;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_
