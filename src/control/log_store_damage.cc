#include "control/log_store_damage.h"

#include <cstddef>

#include "base/concat.h"

namespace cardamomroute::control {

error CorruptionError(const std::string& path, uint64_t offset,
                      store_damage found) {
  return {error_kind::kDataCorrupt, Concat(path, ":", offset),
          Concat(kDamageDetails.at(static_cast<size_t>(found)), "; ",
                 kDamageRemedy)};
}

}  // namespace cardamomroute::control
