#ifndef CARDAMOMROUTE_LOAD_CALL_MIX_H_
#define CARDAMOMROUTE_LOAD_CALL_MIX_H_

#include <cstddef>
#include <random>

#include "absl/time/time.h"

namespace cardamomroute::load {

/// How often each kind of SimulatedCalls is called, how long its requests run
/// and what an answer in time is worth.
class call_mix {
 public:
  /// In a burst most calls are not idempotent.
  explicit call_mix(bool burst) : burst_(burst) {}

  /// Index of a kind in SimulatedCalls.
  size_t DrawKind(std::mt19937_64* random) const;
  static absl::Duration DrawRun(size_t kind, std::mt19937_64* random);
  /// Running time of a request on average over the kinds.
  double MeanRunSeconds() const;
  static double WorthOf(size_t kind);

 private:
  const bool burst_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_CALL_MIX_H_
