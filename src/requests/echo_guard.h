#ifndef CARDAMOMROUTE_REQUESTS_ECHO_GUARD_H_
#define CARDAMOMROUTE_REQUESTS_ECHO_GUARD_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/time/time.h"
#include "requests/echo_credential.h"
#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute {

/// Result of verifying an Echo value.
enum class echo_verdict : uint8_t {
  /// Issued by this incarnation, unexpired and not withdrawn.
  kFresh,
  /// Issued by this incarnation, but expired or withdrawn.
  kStale,
  /// Names another incarnation; only its key can verify the value.
  kForeign,
  /// Wrong length, or the tag does not verify.
  kForged,
};

/// A parsed Echo value and the result of its verification.
struct parsed_echo {
  echo_verdict verdict = echo_verdict::kForged;
  target_id incarnation = 0;
  /// HashOf the flow it was issued to.
  uint64_t issued_to = 0;
};

/// Issues and verifies Echo values (RFC 9175, section 2) for one incarnation
/// of an agent. A value contains the incarnation, a serial number, the issue
/// time, the flow it was issued to, and a keyed BLAKE2b tag over these fields.
/// Each flow has its own key, derived from the key of the incarnation.
class echo_guard {
 public:
  /// How long a value admits a run after its issue.
  static constexpr absl::Duration kLifetime = absl::Seconds(60);
  static constexpr size_t kLength = 40;

  /// `key` must be secret and unique to this incarnation.
  echo_guard(target_id incarnation, const std::string& key);

  /// Returns a new, unique value.
  std::string Issue(const flow_key& flow, absl::Time now);
  /// Parses a value and verifies it if this incarnation issued it.
  parsed_echo Read(std::string_view echo, absl::Time now) const;
  /// The credential with which a successor verifies the values issued to the
  /// flow with this hash.
  echo_credential CredentialOf(uint64_t flow_hash, absl::Time now) const;
  /// Parses and verifies a value that another incarnation issued. Never returns
  /// kForeign.
  static parsed_echo ReadForeign(std::string_view echo,
                                 const echo_credential& issuer, absl::Time now);
  /// Makes all values issued so far stale.
  void WithdrawAll() { first_valid_serial_ = next_serial_; }

 private:
  std::string KeyOf(uint64_t flow_hash) const;

  target_id incarnation_;
  std::string key_;
  uint64_t next_serial_ = 1;
  uint64_t first_valid_serial_ = 1;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_ECHO_GUARD_H_
