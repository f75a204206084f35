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

/// A request waiting for a slot.
struct queued_request {
  uint64_t id = 0;
  call_class urgency = call_class::kOrdinary;
  /// Index of the call kind.
  size_t kind = 0;
  absl::Time deadline;
  /// Starts before all others and ignores the bound, because it was already
  /// admitted: part of a transfer, or a retry after the upstream shed it.
  bool resumed = false;
  /// Internal work: does not count towards the bound and is never displaced.
  bool unbounded = false;
};

/// Priority queue of waiting requests, ordered by class, then by deadline. To
/// prevent starvation, a class that was skipped kMaxSkips times in a row
/// while it had work is served next.
class admission_queue {
 public:
  static constexpr int kMaxSkips = 8;

  explicit admission_queue(size_t bound) : bound_(bound) {}

  /// Number of requests that count towards the bound.
  size_t size() const { return bounded_size_; }
  bool empty() const { return index_.empty(); }
  bool HasResumed() const { return !lanes_[kClasses].empty(); }
  bool IsFull() const { return bounded_size_ >= bound_; }

  /// Adds a request. Does not check the bound: unless the request is resumed,
  /// the caller must make room first.
  void Push(const queued_request& request);
  /// Removes and returns the request to start next; none if empty.
  std::optional<queued_request> PopNext();
  /// Removes and returns the request to displace for an arrival: the last one
  /// that counts towards the bound in the lowest class below `urgency`, or else
  /// in the same class if its deadline is later than `deadline`.
  std::optional<queued_request> PopLastAfter(call_class urgency,
                                             absl::Time deadline);
  /// Removes a request; false if it is not queued.
  bool Erase(uint64_t id);
  /// Requests that would start before one with this class and deadline.
  std::vector<queued_request> RequestsAhead(call_class urgency,
                                            absl::Time deadline) const;
  /// All queued requests.
  std::vector<queued_request> All() const;

 private:
  static constexpr size_t kClasses = 3;

  struct by_deadline {
    bool operator()(const queued_request& a, const queued_request& b) const {
      return a.deadline != b.deadline ? a.deadline < b.deadline : a.id < b.id;
    }
  };
  using ordered_requests = std::set<queued_request, by_deadline>;

  static bool CountsTowardsBound(const queued_request& request) {
    return !request.resumed && !request.unbounded;
  }
  ordered_requests& LaneOf(const queued_request& request);
  size_t NextLane();
  void RemoveFromIndex(const queued_request& request);

  size_t bound_;
  size_t bounded_size_ = 0;
  /// One lane per class; the last one holds resumed requests.
  std::array<ordered_requests, kClasses + 1> lanes_;
  std::array<int, kClasses> skips_{};
  absl::flat_hash_map<uint64_t, queued_request> index_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_ADMISSION_QUEUE_H_
