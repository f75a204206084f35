#ifndef CARDAMOMROUTE_LOAD_REQUEST_LEDGER_H_
#define CARDAMOMROUTE_LOAD_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "absl/time/time.h"
#include "load/simulated_request.h"
#include "load/simulation_figures.h"
#include "load/simulation_settings.h"

namespace cardamomroute {
struct coap_message;
}  // namespace cardamomroute

namespace cardamomroute::load {

/// The requests of a simulation, what their callers were told and what the
/// targets ran.
class request_ledger {
 public:
  /// Work counts until `arrivals_end`.
  request_ledger(const simulation_settings& settings, absl::Time arrivals_end);

  /// Returns the number of the request.
  size_t Add(const simulated_request& request);
  simulated_request& At(size_t number) { return requests_.at(number); }
  void OnRun(size_t number, size_t target, absl::Duration work, absl::Time now);
  /// Told "not run", and the caller will try again.
  void OnRetry(size_t number);
  void OnFinalAnswer(size_t number, const coap_message& answer, absl::Time now);

  simulation_figures Figures() const;

 private:
  static void AddRequest(const simulated_request& request,
                         simulation_figures* figures);
  /// Most work of a target over the mean.
  double Imbalance() const;

  const absl::Duration span_;
  const int64_t slots_;
  const absl::Time arrivals_end_;
  std::vector<simulated_request> requests_;
  std::vector<absl::Duration> work_by_target_;
  absl::Duration useful_;
  uint64_t crossed_answers_ = 0;
  uint64_t false_not_run_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_REQUEST_LEDGER_H_
