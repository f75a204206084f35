#ifndef CARDAMOMROUTE_BASE_SETTINGS_LOADER_H_
#define CARDAMOMROUTE_BASE_SETTINGS_LOADER_H_

#include <optional>
#include <string>
#include <string_view>

#include "base/json_text.h"
#include "base/settings.h"

namespace cardamomroute {

/// Largest settings file.
constexpr size_t kMaxSettingsBytes = size_t{1} << 20;

/// The name of a role on the command line and in settings: "control",
/// "balancer" or "agent".
std::string_view NameOf(process_role role);

/// The role with this name, or nothing.
std::optional<process_role> FindRole(std::string_view name);

/// Reads the settings file at `path` for the role named `role_name`. Fails
/// with every fault that the file has, each with its place: kFileUnreadable,
/// kTooLarge, kNotUtf8, kNotJson, kTooDeep, kDuplicateKey, kSchemaViolation,
/// kValueOutOfRange, kDuplicateName or kDuplicateAddress; kUsage for an
/// unknown role.
checked_result<settings> LoadSettings(const std::string& path,
                                      std::string_view role_name);

/// As LoadSettings, from text; `name` stands for the file in places.
checked_result<settings> ReadSettings(const std::string& name,
                                      std::string_view text,
                                      std::string_view role_name);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_SETTINGS_LOADER_H_
