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

/// What an Echo value is worth.
enum class echo_verdict : uint8_t {
  /// Issued by this incarnation and still admits a run.
  kFresh,
  /// Issued by this incarnation; too old or withdrawn.
  kStale,
  /// Names another incarnation; only that one can check it.
  kForeign,
  /// Not a value of ours.
  kForged,
};

/// An Echo value as read.
struct parsed_echo {
  echo_verdict verdict = echo_verdict::kForged;
  target_id incarnation = 0;
  /// HashOf of the flow it was issued to.
  uint64_t issued_to = 0;
};

/// Makes and checks Echo values (RFC 9175, section 2) of one incarnation of
/// an agent. A value holds the incarnation, a serial number, the time of
/// issue, the flow it was issued to, and a keyed BLAKE2b tag over these. Each
/// flow has a key of its own, derived from the incarnation's.
class echo_guard {
 public:
  /// For how long a value admits a run.
  static constexpr absl::Duration kLifetime = absl::Seconds(60);
  static constexpr size_t kLength = 40;

  /// `key` is secret and of this incarnation alone.
  echo_guard(target_id incarnation, const std::string& key);

  /// A new value; no two are equal.
  std::string Issue(const flow_key& flow, absl::Time now);
  parsed_echo Read(std::string_view echo, absl::Time now) const;
  /// Lets a successor check the values issued to the flow with this HashOf.
  echo_credential CredentialOf(uint64_t flow_hash, absl::Time now) const;
  /// Reads a value that another incarnation issued. Never kForeign.
  static parsed_echo ReadForeign(std::string_view echo,
                                 const echo_credential& issuer, absl::Time now);
  /// Makes every value issued so far stale.
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
