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

/// What is due when a timer fires.
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

/// Names one timer; setting it again moves it.
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

/// Deadlines in order of time.
class timer_queue {
 public:
  void Set(timer_key key, absl::Time at);
  void Cancel(timer_key key);
  /// Sets the timer unless it is set and due earlier.
  void SetEarlier(timer_key key, absl::Time at);
  /// The earliest deadline, or InfiniteFuture.
  absl::Time Next() const;
  /// Takes out one timer that is due at `now`, the earliest first.
  std::optional<timer_key> PopDue(absl::Time now);

 private:
  std::set<std::pair<absl::Time, timer_key>> ordered_;
  absl::flat_hash_map<timer_key, absl::Time> deadlines_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_TIMER_QUEUE_H_
