#ifndef CARDAMOMROUTE_LOAD_FLOW_BASELINES_H_
#define CARDAMOMROUTE_LOAD_FLOW_BASELINES_H_

#include <cstdint>
#include <vector>

#include "view/view.h"

namespace cardamomroute::load {

/// Flows that stateless balancing would send to another target after a change.
class flow_baselines {
 public:
  /// Adds a change of a service's targets for callers 1 to `flows`.
  void AddChange(const std::vector<target_id>& before,
                 const std::vector<target_id>& after, uint16_t flows);

  /// Flows moved where the target is the hash modulo the number of targets.
  uint64_t modulo() const { return modulo_; }
  /// Flows moved where the target is the home by rendezvous hashing.
  uint64_t hash() const { return hash_; }

 private:
  uint64_t modulo_ = 0;
  uint64_t hash_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_FLOW_BASELINES_H_
