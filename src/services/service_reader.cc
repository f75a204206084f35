#include "services/service_reader.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/concat.h"
#include "base/unicode_text.h"
#include "services/dependencies.h"
#include "services/service_names.h"

namespace cardamomroute::internal {
namespace {

using nlohmann::json;

constexpr std::array<text_protocol, 2> kProtocols = {text_protocol::kDatagram,
                                                     text_protocol::kCoap};
constexpr std::array<text_urgency, 3> kUrgencies = {
    text_urgency::kCritical, text_urgency::kUrgent, text_urgency::kOrdinary};

/// The one of `values` that has this name.
template <class T, size_t Size>
T FindByName(const std::array<T, Size>& values, const std::string& name) {
  return *std::find_if(values.begin(), values.end(),
                       [&](T value) { return NameOf(value) == name; });
}

bool IsMulticast(const endpoint& address) {
  return IsIpv4(address) ? (address.ip[12] & 0xF0U) == 0xE0U
                         : address.ip[0] == 0xFFU;
}

bool IsUnspecified(const endpoint& address) {
  const auto begin = address.ip.begin() + (IsIpv4(address) ? 12 : 0);
  return std::all_of(begin, address.ip.end(),
                     [](uint8_t byte) { return byte == 0; });
}

std::string SpellCycle(const std::vector<service_text>& services,
                       const dependency_cycle& cycle) {
  std::string spelled;
  for (const size_t service : cycle.services) {
    spelled += Concat("\"", services[service].name, "\" -> ");
  }
  if (cycle.services.size() < cycle.length) {
    spelled += Concat("(", cycle.length - cycle.services.size(), " more) -> ");
  }
  return Concat(spelled, "\"", services[cycle.services.front()].name, "\"");
}

}  // namespace

service_reader::service_reader(const json_text& document)
    : document_(document), faults_(document) {}

checked_result<std::vector<service_text>> service_reader::Read() {
  const pointer list("/services");
  const json& written = document_.Value()["services"];
  std::vector<service_text> services;
  services.reserve(written.size());
  for (size_t i = 0; i < written.size(); ++i) {
    services.push_back(ReadService(written[i], list / i));
    NoteService(i, services.back());
  }
  CheckDependencies(services);
  if (!faults_.IsEmpty()) {
    return faults_.Take();
  }
  return services;
}

service_text service_reader::ReadService(const json& written,
                                         const pointer& at) {
  service_text service;
  service.name = ReadName(written, at);
  service.address = ReadAddress(written, at);
  service.protocol = FindByName(kProtocols, written["protocol"]);
  if (written.contains("calls")) {
    ReadCalls(written["calls"], at / "calls", service);
  }
  const bool needs_calls = service.protocol == text_protocol::kCoap;
  if (needs_calls && service.calls.empty()) {
    faults_.Add(error_kind::kValueOutOfRange, at,
                "a service with protocol \"coap\" needs calls");
  }
  if (!needs_calls && !service.calls.empty()) {
    faults_.Add(error_kind::kValueOutOfRange, at / "calls",
                "a service with protocol \"datagram\" has no calls");
  }
  if (written.contains("depends_on")) {
    for (const json& name : written["depends_on"]) {
      service.depends_on.push_back(ToNfc(name.get_ref<const std::string&>()));
    }
  }
  return service;
}

endpoint service_reader::ReadAddress(const json& service, const pointer& at) {
  const auto& written = service["address"].get_ref<const std::string&>();
  const result<endpoint> address = ParseEndpoint(written);
  if (address.has_error()) {
    faults_.Add(error_kind::kValueOutOfRange, at / "address",
                Concat("\"", written, "\" is not IP:PORT"));
    return {};
  }
  if (address.value().port == 0 || IsMulticast(address.value()) ||
      IsUnspecified(address.value())) {
    faults_.Add(error_kind::kValueOutOfRange, at / "address",
                Concat("\"", written, "\" is no address of a single host"));
    return {};
  }
  return address.value();
}

void service_reader::ReadCalls(const json& written, const pointer& at,
                               service_text& service) {
  absl::flat_hash_set<std::string> names;
  absl::flat_hash_set<std::pair<std::string, std::string>> meanings;
  for (size_t i = 0; i < written.size(); ++i) {
    call_text call = ReadCall(written[i], at / i);
    if (!names.insert(call.name).second) {
      faults_.Add(error_kind::kDuplicateName, at / i / "name",
                  Concat("call \"", call.name, "\" stands twice"));
    }
    if (!meanings.emplace(call.method, call.path).second) {
      faults_.Add(error_kind::kDuplicateName, at / i / "path",
                  Concat(call.method, " ", call.path, " stands twice"));
    }
    service.calls.push_back(std::move(call));
  }
}

call_text service_reader::ReadCall(const json& written, const pointer& at) {
  call_text call;
  call.name = ReadName(written, at);
  call.method = written["method"];
  call.path = ToNfc(written["path"].get_ref<const std::string&>());
  const std::string fault = FaultOfPath(call.path);
  if (!fault.empty()) {
    faults_.Add(error_kind::kValueOutOfRange, at / "path", fault);
  }
  call.urgency = FindByName(kUrgencies, written["class"]);
  call.carried_urgency = call.urgency;
  call.idempotent = written["idempotent"];
  call.timeout_ms = written["timeout_ms"];
  return call;
}

std::string service_reader::ReadName(const json& owner, const pointer& at) {
  std::string name = ToNfc(owner["name"].get_ref<const std::string&>());
  const std::string fault = FaultOfName(name);
  if (!fault.empty()) {
    faults_.Add(error_kind::kValueOutOfRange, at / "name", fault);
  }
  return name;
}

void service_reader::NoteService(size_t index, const service_text& service) {
  const auto [name, new_name] = names_.emplace(service.name, index);
  if (!new_name) {
    faults_.Add(error_kind::kDuplicateName,
                pointer("/services") / index / "name",
                Concat("service \"", service.name, "\" stands twice"));
  }
  if (service.address == endpoint()) {
    return;
  }
  const auto [address, new_address] =
      addresses_.emplace(service.address, index);
  if (!new_address) {
    faults_.Add(error_kind::kDuplicateAddress,
                pointer("/services") / index / "address",
                Concat(ToString(service.address), " is the address of service ",
                       address->second + 1, " of the text too"));
  }
}

void service_reader::CheckDependencies(
    const std::vector<service_text>& services) {
  dependency_lists dependencies(services.size());
  for (size_t i = 0; i < services.size(); ++i) {
    const pointer at = pointer("/services") / i / "depends_on";
    absl::flat_hash_set<std::string> seen;
    for (size_t j = 0; j < services[i].depends_on.size(); ++j) {
      const std::string& name = services[i].depends_on[j];
      const auto known = names_.find(name);
      if (!seen.insert(name).second) {
        faults_.Add(error_kind::kDuplicateName, at / j,
                    Concat("dependency \"", name, "\" stands twice"));
      }
      if (known == names_.end()) {
        faults_.Add(error_kind::kUnknownDependency, at / j,
                    Concat("no service is named \"", name, "\""));
      } else {
        dependencies[i].push_back(known->second);
      }
    }
  }
  NoteCycles(services, dependencies);
}

void service_reader::NoteCycles(
    const std::vector<service_text>& services,
    const std::vector<std::vector<size_t>>& dependencies) {
  for (const dependency_cycle& cycle : FindCycles(dependencies, kMaxFaults)) {
    const size_t last = cycle.last;
    const std::vector<std::string>& names = services[last].depends_on;
    const std::string& closing = services[cycle.services.front()].name;
    const auto index = static_cast<size_t>(
        std::find(names.begin(), names.end(), closing) - names.begin());
    faults_.Add(error_kind::kDependencyCycle,
                pointer("/services") / last / "depends_on" / index,
                SpellCycle(services, cycle));
  }
}

}  // namespace cardamomroute::internal
