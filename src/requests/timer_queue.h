#ifndef CARDAMOMROUTE_REQUESTS_TIMER_QUEUE_H_
#define CARDAMOMROUTE_REQUESTS_TIMER_QUEUE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cardamomroute {

/// The action that a timer triggers.
enum class timer_kind : uint8_t {
  kAcknowledge,
  kQueueTimeout,
  kRunDeadline,
  kRetry,
  kSlotRelease,
  kCallerRetransmit,
  kUpstreamRetransmit,
  kLegCheck,
  kTransferIdle,
  kTransferExpiry,
  kObservationRefresh,
  kSweep,
  kDrainGrace,
};

/// Identifies one timer; setting it again replaces its deadline.
struct timer_key {
  timer_kind kind = timer_kind::kSweep;
  uint64_t id = 0;

  friend bool operator==(const timer_key& a, const timer_key& b) {
    return a.kind == b.kind && a.id == b.id;
  }
  friend bool operator<(const timer_key& a, const timer_key& b) {
    return std::tie(a.kind, a.id) < std::tie(b.kind, b.id);
  }
  template <typename Hash>
  friend Hash AbslHashValue(Hash state, const timer_key& value) {
    return Hash::combine(std::move(state), value.kind, value.id);
  }
};

/// Pending timers, ordered by deadline.
class timer_queue {
 public:
  void Set(timer_key key, absl::Time at);
  void Cancel(timer_key key);
  /// Sets the timer unless it is already set to `at` or earlier.
  void SetEarlier(timer_key key, absl::Time at);
  /// The earliest deadline, or InfiniteFuture if no timer is set.
  absl::Time Next() const;
  /// Removes and returns the earliest timer due at `now`; none if none is due.
  std::optional<timer_key> PopDue(absl::Time now);

 private:
  std::set<std::pair<absl::Time, timer_key>> ordered_;
  absl::flat_hash_map<timer_key, absl::Time> deadlines_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_TIMER_QUEUE_H_
