#ifndef CARDAMOMROUTE_ROUTING_REGISTRAR_H_
#define CARDAMOMROUTE_ROUTING_REGISTRAR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/btree_map.h"
#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "routing/packet_header.h"

namespace cardamomroute {

/// Flows that one holder registers with one home, or reports as closed.
struct registration_batch {
  target_id home = 0;
  uint64_t sequence = 0;
  /// kRegister or kClosed.
  packet_kind kind = packet_kind::kRegister;
  std::vector<flow_record> flows;
};

/// Sends registrations to homes in batches, and again until acknowledged.
class registrar {
 public:
  void Queue(target_id home, packet_kind kind, const flow_record& flow);

  /// Batches to send now: new ones, and those that were not acknowledged in
  /// time; at most a bounded number a call.
  std::vector<registration_batch> TakeDue(absl::Time now);

  /// The batch that `home` acknowledged; empty when it is not awaited.
  registration_batch OnDone(target_id home, uint64_t sequence);

  /// Forgets what is meant for a home that is gone.
  void DropHome(target_id home);

  /// True while something for `home` is not acknowledged.
  bool HasPending(target_id home) const;
  bool empty() const { return queued_.empty() && in_flight_.empty(); }

 private:
  struct sent_batch {
    registration_batch batch;
    absl::Time retry_at;
    uint32_t attempts = 0;
  };

  void StartBatches(absl::Time now, std::vector<registration_batch>* due);
  void RetryBatches(absl::Time now, std::vector<registration_batch>* due);

  uint64_t last_sequence_ = 0;
  /// Not yet sent; the sequence is still 0. Batches of one home and kind are
  /// filled up one after the other.
  std::deque<registration_batch> queued_;
  absl::btree_map<uint64_t, sent_batch> in_flight_;
  absl::flat_hash_map<target_id, std::size_t> pending_by_home_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_REGISTRAR_H_
