#ifndef CARDAMOMROUTE_CARDAMOMROUTE_REQUEST_TIMES_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_REQUEST_TIMES_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "requests/request_decision.h"

namespace cardamomroute {

class metric_recorder;

/// Counts the decisions about requests and measures how long requests wait
/// for a slot and how long the upstream has them.
class request_times {
 public:
  /// `recorder` is an agent's and outlives this object.
  explicit request_times(metric_recorder* recorder) : recorder_(recorder) {}

  void OnDecision(const request_decision& decision, absl::Time now);

 private:
  struct open_request {
    absl::Time since;
    bool is_running = false;
  };

  void Begin(uint64_t request, absl::Time now);
  void Start(uint64_t request, absl::Time now);
  void End(uint64_t request, absl::Time now);

  metric_recorder* const recorder_;
  absl::flat_hash_map<uint64_t, open_request> open_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_REQUEST_TIMES_H_
