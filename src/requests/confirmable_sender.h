#ifndef CARDAMOMROUTE_REQUESTS_CONFIRMABLE_SENDER_H_
#define CARDAMOMROUTE_REQUESTS_CONFIRMABLE_SENDER_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// An unacknowledged confirmable message to a caller.
struct confirmable_message {
  uint64_t id = 0;
  flow_key flow;
  uint16_t message_id = 0;
  std::string datagram;
  /// Id of the observation if the message is a notification; 0 for responses.
  uint64_t observation = 0;
  int transmissions = 1;
  /// Times of the last transmission and of the next retransmission.
  absl::Time sent_at;
  absl::Time retransmit_at;
};

/// Tracks confirmable messages to callers and schedules their retransmission
/// with exponential back-off (RFC 7252, section 4.2).
class confirmable_sender {
 public:
  explicit confirmable_sender(uint64_t seed) : random_(seed) {}

  /// Adds a message that was first sent at `now`. Returns it with its id and
  /// the time of its first retransmission.
  const confirmable_message& Add(confirmable_message message, absl::Time now);
  /// Removes and returns the message that the caller acknowledged or rejected
  /// with a Reset; nullopt if no message has this id.
  std::optional<confirmable_message> OnReply(const flow_key& flow,
                                             uint16_t message_id);
  /// Records a retransmission at `now`, doubles the timeout and returns the
  /// message to send. Null if it was already retransmitted kMaxRetransmit
  /// times or is gone.
  const confirmable_message* OnRetransmitTimeout(uint64_t id, absl::Time now);
  /// Removes and returns a message; nullopt if it is gone.
  std::optional<confirmable_message> Remove(uint64_t id);
  /// Ids of the messages to one caller, in ascending order.
  std::vector<uint64_t> IdsOf(const flow_key& flow) const;
  /// Returns the message, or null if it is gone.
  const confirmable_message* Find(uint64_t id) const;

 private:
  std::mt19937_64 random_;
  uint64_t next_id_ = 1;
  absl::node_hash_map<uint64_t, confirmable_message> messages_;
  absl::flat_hash_map<std::pair<flow_key, uint16_t>, uint64_t> index_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CONFIRMABLE_SENDER_H_
