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

/// A confirmable message to a caller that is not yet acknowledged.
struct confirmable_message {
  uint64_t id = 0;
  flow_key flow;
  uint16_t message_id = 0;
  std::string datagram;
  /// The observation it is a notification of; 0 for answers.
  uint64_t observation = 0;
  int transmissions = 1;
  absl::Time sent_at;
  absl::Time retransmit_at;
};

/// Confirmable messages to callers, sent again with exponential back-off
/// until acknowledged (RFC 7252, section 4.2).
class confirmable_sender {
 public:
  explicit confirmable_sender(uint64_t seed) : random_(seed) {}

  /// Takes charge of a message that was sent at `now`; returns it with its
  /// id and the time of the next transmission.
  const confirmable_message& Add(confirmable_message message, absl::Time now);
  /// Takes out the message that the caller acknowledged or reset.
  std::optional<confirmable_message> OnReply(const flow_key& flow,
                                             uint16_t message_id);
  /// The message to send again now, or null when it was sent often enough or
  /// is no longer there.
  const confirmable_message* OnRetransmitTimeout(uint64_t id, absl::Time now);
  /// Takes out a message.
  std::optional<confirmable_message> Remove(uint64_t id);
  /// Ids of the messages to one caller, in order.
  std::vector<uint64_t> IdsOf(const flow_key& flow) const;
  const confirmable_message* Find(uint64_t id) const;

 private:
  std::mt19937_64 random_;
  uint64_t next_id_ = 1;
  absl::node_hash_map<uint64_t, confirmable_message> messages_;
  absl::flat_hash_map<std::pair<flow_key, uint16_t>, uint64_t> index_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_CONFIRMABLE_SENDER_H_
