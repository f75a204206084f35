#include "control/log_store_names.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <xxhash.h>

#include <algorithm>

namespace cardamomroute::control {

std::string FileNameFor(const std::string& prefix, uint64_t sequence) {
  return absl::StrFormat("%s%016x", prefix, sequence);
}

uint64_t HighestSequence(const std::vector<std::string>& names,
                         const std::string& prefix) {
  uint64_t highest = 0;
  for (const std::string& name : names) {
    uint64_t sequence = 0;
    if (absl::StartsWith(name, prefix) &&
        absl::SimpleHexAtoi(name.substr(prefix.size()), &sequence)) {
      highest = std::max(highest, sequence);
    }
  }
  return highest;
}

bool ContainsName(const std::vector<std::string>& names,
                  const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

std::string IdentityContent(uint32_t version, member_id member) {
  const std::string body = absl::StrFormat(
      "cardamomroute data folder, format %d\nmember %016x\n", version, member);
  return absl::StrFormat("%schecksum %016x\n", body,
                         XXH3_64bits(body.data(), body.size()));
}

}  // namespace cardamomroute::control
