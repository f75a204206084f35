#ifndef CARDAMOMROUTE_FLOWS_OPENING_QUEUE_H_
#define CARDAMOMROUTE_FLOWS_OPENING_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/time/time.h"
#include "base/ipv4_address.h"
#include "flows/flow_id.h"

namespace cardamomroute {

/// The opening of a flow that waits at an agent.
struct waiting_opening {
  flow_id flow;
  ipv4_address balancer;
  uint32_t attempt = 0;
  /// The lowest is served first.
  uint32_t urgency = 0;
  std::vector<uint8_t> bytes;
  absl::Time came_at;
  /// It is of no use any more by then.
  absl::Time give_up_at;
};

/// Openings that wait at an agent until its upstream has room. The most urgent
/// one goes first, and of several the one that came last: under overload it has
/// most of its caller's time left, and the others would be late in any case.
class opening_queue {
 public:
  /// Room for `most` openings.
  explicit opening_queue(size_t most) : most_(most) {}

  /// Adds the opening, or takes the place of an earlier copy, which keeps its
  /// times. Gives back what has to go for want of room: the least urgent one,
  /// and of several the oldest.
  std::optional<waiting_opening> Add(waiting_opening opening);

  /// Takes out the one that is next; empty where none waits.
  std::optional<waiting_opening> TakeNext();

  /// Takes out those that have waited too long.
  std::vector<waiting_opening> TakeExpired(absl::Time now);

  /// Takes out all.
  std::vector<waiting_opening> TakeAll();

  bool Has(const flow_id& flow) const;
  void SetRoom(size_t most) { most_ = most; }
  size_t size() const { return waiting_.size(); }

  /// When TakeExpired has something.
  absl::Time NextDeadline() const;

 private:
  size_t most_;
  /// Few, so that looking through them is as quick as any order.
  std::vector<waiting_opening> waiting_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_OPENING_QUEUE_H_
