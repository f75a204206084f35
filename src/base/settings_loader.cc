#include "base/settings_loader.h"

#include <absl/container/flat_hash_set.h>

#include <array>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/fault_list.h"
#include "base/json_schema.h"
#include "base/settings_schema.h"
#include "base/unicode_text.h"

namespace cardamomroute {
namespace {

using nlohmann::json;
using pointer = nlohmann::json::json_pointer;

constexpr std::array<std::string_view, 3> kRoleNames = {"control", "balancer",
                                                        "agent"};

/// Fills settings from a document that keeps the schema, and notes what the
/// schema cannot say.
class settings_reader {
 public:
  explicit settings_reader(const json_text& text)
      : text_(text), faults_(text) {}

  settings Read(process_role role) {
    settings read;
    read.role = role;
    read.name = Name(pointer("/name"));
    read.zone = Name(pointer("/zone"));
    ReadLog(read.log);
    const pointer section = pointer() / std::string(NameOf(role));
    if (!text_.Value().contains(section)) {
      Fault(error_kind::kSchemaViolation, pointer(),
            Concat("Missing required property '", NameOf(role), "'."));
      return read;
    }
    (this->*kRoleReaders.at(static_cast<size_t>(role)))(section, read);
    return read;
  }

  std::vector<error> TakeFaults() { return faults_.Take(); }

 private:
  using role_reader = void (settings_reader::*)(const pointer&, settings&);
  static const std::array<role_reader, 3> kRoleReaders;

  const json& At(const pointer& at) const { return text_.Value().at(at); }

  void Fault(error_kind kind, const pointer& at, std::string_view detail) {
    faults_.Add(kind, at, detail);
  }

  std::string Name(const pointer& at) {
    return ToNfc(At(at).get_ref<const std::string&>());
  }

  endpoint Address(const pointer& at) {
    const auto& written = At(at).get_ref<const std::string&>();
    const result<endpoint> address = ParseEndpoint(written);
    if (address.has_error() || address.value().port == 0) {
      Fault(error_kind::kValueOutOfRange, at,
            Concat("\"", written, "\" is not IP:PORT"));
      return {};
    }
    return address.value();
  }

  std::vector<endpoint> ControlAddresses(const pointer& at) {
    std::vector<endpoint> addresses;
    absl::flat_hash_set<endpoint> seen;
    for (size_t i = 0; i < At(at).size(); ++i) {
      const endpoint address = Address(at / i);
      if (address != endpoint() && !seen.insert(address).second) {
        Fault(error_kind::kDuplicateAddress, at / i,
              Concat("\"", ToString(address), "\" stands twice"));
      }
      addresses.push_back(address);
    }
    return addresses;
  }

  template <class T>
  void Optional(const pointer& at, T& value) {
    if (text_.Value().contains(at)) {
      At(at).get_to(value);
    }
  }

  void ReadLog(log_settings& log) {
    Optional(pointer("/log/level"), log.level);
    Optional(pointer("/log/json"), log.json);
    Optional(pointer("/log/file"), log.file);
    Optional(pointer("/log/rotate_bytes"), log.rotate_bytes);
    Optional(pointer("/log/kept_files"), log.kept_files);
  }

  void ReadControl(const pointer& section, settings& read) {
    control_settings& control = read.control;
    control.listen = Address(section / "listen");
    control.data_folder = At(section / "data_folder").get<std::string>();
    Optional(section / "standby", control.standby);
    Optional(section / "max_direct_nodes", control.max_direct_nodes);
    const pointer peers = section / "peers";
    absl::flat_hash_set<std::string> names;
    absl::flat_hash_set<endpoint> addresses;
    for (size_t i = 0; i < At(peers).size(); ++i) {
      const pointer at = peers / i;
      control_peer peer{Name(at / "name"), Address(at / "address")};
      if (!names.insert(peer.name).second) {
        Fault(error_kind::kDuplicateName, at / "name",
              Concat("\"", peer.name, "\" stands twice"));
      }
      if (peer.address != endpoint() &&
          !addresses.insert(peer.address).second) {
        Fault(error_kind::kDuplicateAddress, at / "address",
              Concat("\"", ToString(peer.address), "\" stands twice"));
      }
      control.peers.push_back(std::move(peer));
    }
    CheckOwnName(peers, names.contains(read.name), read);
  }

  void CheckOwnName(const pointer& peers, bool is_peer, const settings& read) {
    if (!is_peer && !read.control.standby) {
      Fault(
          error_kind::kValueOutOfRange, peers,
          Concat("\"", read.name, "\" is no standby and not among the peers"));
    }
    if (is_peer && read.control.standby) {
      Fault(error_kind::kValueOutOfRange, peers,
            Concat("\"", read.name,
                   "\" is a standby and must not be among the peers"));
    }
  }

  void ReadBalancer(const pointer& section, settings& read) {
    balancer_settings& balancer = read.balancer;
    balancer.control = ControlAddresses(section / "control");
    balancer.inner = Address(section / "inner");
    Optional(section / "traffic_threads", balancer.traffic_threads);
    if (text_.Value().contains(section / "edge")) {
      balancer.edge = At(section / "edge") == "direct" ? edge_mode::kDirect
                                                       : edge_mode::kProxied;
    }
    ReadEdge(section / "edge_listen", balancer.edge, balancer.edge_listen);
    ReadEdge(section / "edge_return", balancer.edge, balancer.edge_return);
  }

  /// An address that the proxied mode needs.
  void ReadEdge(const pointer& place, edge_mode mode, endpoint& read) {
    if (text_.Value().contains(place)) {
      read = Address(place);
    } else if (mode == edge_mode::kProxied) {
      Fault(error_kind::kSchemaViolation, place.parent_pointer(),
            Concat("Missing required property '", place.back(),
                   "' (edge \"proxied\")."));
    }
  }

  void ReadAgent(const pointer& section, settings& read) {
    agent_settings& agent = read.agent;
    agent.control = ControlAddresses(section / "control");
    agent.inner = Address(section / "inner");
    agent.service = Name(section / "service");
    agent.upstream = Address(section / "upstream");
    Optional(section / "slots", agent.slots);
    Optional(section / "report_path", agent.report_path);
    if (!agent.report_path.empty() && agent.report_path.front() != '/') {
      Fault(error_kind::kValueOutOfRange, section / "report_path",
            "A path begins with a slash.");
    }
    Optional(section / "deadline_option", agent.deadline_option);
    if (agent.upstream != endpoint() && agent.upstream == agent.inner) {
      Fault(error_kind::kDuplicateAddress, section / "upstream",
            "The upstream's address is the agent's own.");
    }
  }

  const json_text& text_;
  fault_list faults_;
};

const std::array<settings_reader::role_reader, 3>
    settings_reader::kRoleReaders = {&settings_reader::ReadControl,
                                     &settings_reader::ReadBalancer,
                                     &settings_reader::ReadAgent};

const json& SettingsSchema() {
  static const json* const kSchema =
      new json(json::parse(internal::kSettingsSchema));
  return *kSchema;
}

}  // namespace

std::string_view NameOf(process_role role) {
  return kRoleNames.at(static_cast<size_t>(role));
}

std::optional<process_role> FindRole(std::string_view name) {
  for (size_t i = 0; i < kRoleNames.size(); ++i) {
    if (kRoleNames.at(i) == name) {
      return static_cast<process_role>(i);
    }
  }
  return std::nullopt;
}

checked_result<settings> ReadSettings(const std::string& name,
                                      std::string_view text,
                                      std::string_view role_name) {
  const std::optional<process_role> role = FindRole(role_name);
  if (!role) {
    return std::vector<error>{
        {error_kind::kUsage, std::string(role_name), "There is no such role."}};
  }
  json_limits limits;
  limits.max_bytes = kMaxSettingsBytes;
  checked_result<json_text> parsed = json_text::Parse(name, text, limits);
  if (parsed.has_error()) {
    return std::move(parsed).error();
  }
  const json_text& document = parsed.value();
  std::vector<error> faults = CheckSchema(document, SettingsSchema());
  if (!faults.empty()) {
    return faults;
  }
  settings_reader reader(document);
  settings read = reader.Read(*role);
  faults = reader.TakeFaults();
  if (!faults.empty()) {
    return faults;
  }
  return read;
}

checked_result<settings> LoadSettings(const std::string& path,
                                      std::string_view role_name) {
  result<std::string> text = ReadTextFile(path, kMaxSettingsBytes);
  if (text.has_error()) {
    return std::vector<error>{text.error()};
  }
  return ReadSettings(path, text.value(), role_name);
}

}  // namespace cardamomroute
