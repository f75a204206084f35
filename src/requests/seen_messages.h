#ifndef CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_
#define CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cardamomroute {

/// A caller's request message, identified by its message id.
struct seen_message {
  uint16_t id = 0;
  /// Datagram sent in reply to a duplicate of the message; empty until there is
  /// one.
  std::string answer;
  /// True if `answer` is the final answer.
  bool settled = false;
  absl::Time expires_at;
};

/// Messages received from one caller within EXCHANGE_LIFETIME, for duplicate
/// detection (RFC 7252, section 4.5). Bounded: the oldest message is evicted
/// first, but an unexpired one never before its final answer is known.
/// At-most-once execution does not depend on this table; dedup_table ensures
/// it.
class seen_messages {
 public:
  static constexpr size_t kMaxMessages = 256;

  /// The unexpired message with this id, or null.
  seen_message* Find(uint16_t id, absl::Time now);
  /// Adds a message; a non-empty `answer` is the final one.
  void Add(uint16_t id, std::string answer, absl::Time expires_at,
           absl::Time now);
  /// Sets the reply to duplicates; no effect if the id is not in the table.
  /// `settled` distinguishes the final answer from an empty acknowledgement.
  void SetAnswer(uint16_t id, std::string answer, bool settled);
  void Forget(uint16_t id) { messages_.erase(id); }
  /// All messages, in order of arrival.
  std::deque<seen_message> All() const;

 private:
  void Evict(absl::Time now);

  absl::flat_hash_map<uint16_t, seen_message> messages_;
  std::deque<uint16_t> order_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_
