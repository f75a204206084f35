#ifndef CARDAMOMROUTE_REQUESTS_ADMISSION_QUEUE_H_
#define CARDAMOMROUTE_REQUESTS_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "view/view.h"

namespace cardamomroute {

/// A request that waits for a slot.
struct queued_request {
  uint64_t id = 0;
  call_class urgency = call_class::kOrdinary;
  /// Index of its kind of call.
  size_t kind = 0;
  absl::Time deadline;
  /// Goes before all others and past the bound: it was admitted before, as
  /// part of a transfer or as an attempt that was shed.
  bool resumed = false;
  /// Does not count towards the bound and is not displaced: work of our own.
  bool unbounded = false;
};

/// Waiting requests, ordered by class, then by deadline. Ordinary work is not
/// starved: a class that was passed over kMaxPassedOver times in a row while
/// it had work goes next.
class admission_queue {
 public:
  static constexpr int kMaxPassedOver = 8;

  explicit admission_queue(size_t bound) : bound_(bound) {}

  /// Number of requests that count towards the bound.
  size_t size() const { return bounded_size_; }
  bool empty() const { return index_.empty(); }
  bool HasResumed() const { return !lanes_[kClasses].empty(); }
  bool IsFull() const { return bounded_size_ >= bound_; }

  /// Adds a request; the caller has made room before, if it is not resumed.
  void Push(const queued_request& request);
  /// Takes the request to start next.
  std::optional<queued_request> PopNext();
  /// Takes the last request that counts towards the bound, of the lowest
  /// class below `urgency` or else of the same class with a later deadline.
  std::optional<queued_request> PopLastAfter(call_class urgency,
                                             absl::Time deadline);
  /// Takes out a request; false when it does not wait.
  bool Erase(uint64_t id);
  /// Requests that would start before one of this class and deadline.
  std::vector<queued_request> RequestsAhead(call_class urgency,
                                            absl::Time deadline) const;
  /// Every request that waits.
  std::vector<queued_request> All() const;

 private:
  static constexpr size_t kClasses = 3;

  struct by_deadline {
    bool operator()(const queued_request& a, const queued_request& b) const {
      return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
    }
  };
  using ordered_requests = std::set<queued_request, by_deadline>;

  static bool Counts(const queued_request& request) {
    return !request.resumed && !request.unbounded;
  }
  ordered_requests& LaneOf(const queued_request& request);
  size_t NextLane();
  void Forget(const queued_request& request);

  size_t bound_;
  size_t bounded_size_ = 0;
  /// One for each class, and the last for resumed work.
  std::array<ordered_requests, kClasses + 1> lanes_;
  std::array<int, kClasses> passed_over_{};
  absl::flat_hash_map<uint64_t, queued_request> index_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_ADMISSION_QUEUE_H_
