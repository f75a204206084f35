#ifndef CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_
#define CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"

namespace cardamomroute {

/// Lets a successor verify the Echo values that a former holder issued to one
/// flow, but not those issued to its other flows.
struct echo_credential {
  /// Per-flow key, derived from the issuer's secret.
  std::string key;
  /// Values with a lower serial number are withdrawn.
  uint64_t first_valid_serial = 0;
  /// Clock offset: the issuer's clock showed `issuer_now` when the local clock
  /// showed `read_at`.
  absl::Time issuer_now;
  absl::Time read_at;
};

/// A credential received with a flow, kept until no caller can still need it.
struct inherited_credential {
  echo_credential issuer;
  absl::Time expires_at;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_ECHO_CREDENTIAL_H_
