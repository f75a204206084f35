#ifndef CARDAMOMROUTE_SERVICES_SERVICE_TEXT_H_
#define CARDAMOMROUTE_SERVICES_SERVICE_TEXT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/endpoint.h"
#include "base/json_text.h"

namespace cardamomroute {

/// How the packets of a service are carried; in the order of
/// service_protocol.
enum class text_protocol : uint8_t { kDatagram, kCoap };

/// How urgent a kind of call is, most urgent first; in the order of
/// call_class.
enum class text_urgency : uint8_t { kCritical, kUrgent, kOrdinary };

/// One kind of call, as the operators wrote it.
struct call_text {
  std::string name;
  std::string method;
  std::string path;
  /// As written.
  text_urgency urgency = text_urgency::kOrdinary;
  /// The most urgent of `urgency` and of every call of the services that
  /// depend on this one, directly or not. Not part of the canonical form.
  text_urgency carried_urgency = text_urgency::kOrdinary;
  bool idempotent = false;
  uint32_t timeout_ms = 0;
};

/// One service, as the operators wrote it.
struct service_text {
  std::string name;
  endpoint address;
  text_protocol protocol = text_protocol::kDatagram;
  /// Sorted by name.
  std::vector<call_text> calls;
  /// Names of services, sorted.
  std::vector<std::string> depends_on;
};

/// The operators' text, checked. Names and paths are in Normalization Form C.
struct services_text {
  /// Sorted by name.
  std::vector<service_text> services;

  /// The service with this name, or null.
  const service_text* Find(std::string_view name) const;
};

/// Largest text, as written and in its canonical form.
constexpr size_t kMaxServicesBytes = size_t{32} << 20;

/// The name of a protocol or class in the text, for example "coap" and
/// "urgent".
std::string_view NameOf(text_protocol protocol);
std::string_view NameOf(text_urgency urgency);

/// Reads and checks the operators' text; `name` stands for it in places.
/// Fails with every fault of the first of three stages that finds any: form
/// (kTooLarge, kNotUtf8, kNotJson, kTooDeep, kDuplicateKey), schema
/// (kSchemaViolation), meaning (kValueOutOfRange, kDuplicateName,
/// kDuplicateAddress, kUnknownDependency, kDependencyCycle). Each fault has
/// line and column.
checked_result<services_text> ParseServices(std::string name,
                                            std::string_view text);

/// The one way to write this text: JSON on one line that ends in LF, with
/// sorted keys, services, calls and dependencies, in NFC. Parses to the same
/// text.
std::string CanonicalForm(const services_text& text);

/// BLAKE2b (RFC 7693) of 32 bytes over a canonical form, as 64 lower-case
/// hexadecimal digits.
std::string DigestOf(std::string_view canonical);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_SERVICES_SERVICE_TEXT_H_
