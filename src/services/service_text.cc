#include "services/service_text.h"

#include <sodium/core.h>
#include <sodium/crypto_generichash.h>
#include <sodium/utils.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/concat.h"
#include "base/json_schema.h"
#include "services/dependencies.h"
#include "services/service_reader.h"
#include "services/services_schema.h"

namespace cardamomroute {
namespace {

using nlohmann::json;

constexpr uint32_t kMaxDepth = 8;
constexpr size_t kDigestBytes = 32;

/// How often a canonical form may be as long as what was written: the fields
/// left out and the longest growth by NFC.
constexpr size_t kMaxGrowth = 4;

constexpr std::array<std::string_view, 2> kProtocolNames = {"datagram", "coap"};
constexpr std::array<std::string_view, 3> kUrgencyNames = {"critical", "urgent",
                                                           "ordinary"};

const json& ServicesSchema() {
  static const json* const kSchema =
      new json(json::parse(internal::kServicesSchema));
  return *kSchema;
}

template <class T>
void SortByName(std::vector<T>& items) {
  std::sort(items.begin(), items.end(),
            [](const T& a, const T& b) { return a.name < b.name; });
}

services_text Sorted(std::vector<service_text> services) {
  services_text text{std::move(services)};
  SortByName(text.services);
  for (service_text& service : text.services) {
    SortByName(service.calls);
    std::sort(service.depends_on.begin(), service.depends_on.end());
  }
  return text;
}

json ToJson(const call_text& call) {
  return {{"name", call.name},
          {"method", call.method},
          {"path", call.path},
          {"class", NameOf(call.urgency)},
          {"idempotent", call.idempotent},
          {"timeout_ms", call.timeout_ms}};
}

json ToJson(const service_text& service) {
  json calls = json::array();
  for (const call_text& call : service.calls) {
    calls.push_back(ToJson(call));
  }
  return {{"name", service.name},
          {"address", ToString(service.address)},
          {"protocol", NameOf(service.protocol)},
          {"calls", std::move(calls)},
          {"depends_on", service.depends_on}};
}

}  // namespace

const service_text* services_text::Find(std::string_view name) const {
  const auto found = std::lower_bound(
      services.begin(), services.end(), name,
      [](const service_text& a, std::string_view b) { return a.name < b; });
  return found != services.end() && found->name == name ? &*found : nullptr;
}

std::string_view NameOf(text_protocol protocol) {
  return kProtocolNames.at(static_cast<size_t>(protocol));
}

std::string_view NameOf(text_urgency urgency) {
  return kUrgencyNames.at(static_cast<size_t>(urgency));
}

checked_result<services_text> ParseServices(std::string name,
                                            std::string_view text) {
  const json_limits limits{kMaxServicesBytes, kMaxDepth};
  auto document = json_text::Parse(name, text, limits);
  if (document.has_error()) {
    return std::move(document).error();
  }
  std::vector<error> faults = CheckSchema(document.value(), ServicesSchema());
  if (!faults.empty()) {
    return faults;
  }
  auto services = internal::service_reader(document.value()).Read();
  if (services.has_error()) {
    return std::move(services).error();
  }
  services_text parsed = Sorted(std::move(services).value());
  if (text.size() > kMaxServicesBytes / kMaxGrowth &&
      CanonicalForm(parsed).size() > kMaxServicesBytes) {
    return std::vector<error>{{error_kind::kTooLarge, std::move(name),
                               Concat("the canonical form has more than ",
                                      kMaxServicesBytes, " bytes")}};
  }
  CarryUrgency(parsed);
  return parsed;
}

std::string CanonicalForm(const services_text& text) {
  json services = json::array();
  for (const service_text& service : text.services) {
    services.push_back(ToJson(service));
  }
  const json whole = {{"services", std::move(services)}};
  return whole.dump() + "\n";
}

std::string DigestOf(std::string_view canonical) {
  [[maybe_unused]] static const int kReady = sodium_init();
  std::array<unsigned char, kDigestBytes> digest{};
  crypto_generichash(digest.data(), digest.size(),
                     reinterpret_cast<const unsigned char*>(canonical.data()),
                     canonical.size(), nullptr, 0);
  std::string hex(2 * kDigestBytes + 1, '\0');
  sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
  hex.pop_back();
  return hex;
}

}  // namespace cardamomroute
