#ifndef CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_
#define CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cardamomroute {

/// A request message of a caller, by its message id.
struct seen_message {
  uint16_t id = 0;
  /// The datagram that a repeat of the message gets; empty while there is
  /// none.
  std::string answer;
  /// The answer is the final one.
  bool settled = false;
  absl::Time expires_at;
};

/// Messages of one caller that arrived within EXCHANGE_LIFETIME (RFC 7252,
/// section 4.5). Bounded: of those that were answered the oldest go first, one
/// whose answer is outstanding stays. At-most-once does not rest on it, the
/// dedup table sees to that.
class seen_messages {
 public:
  static constexpr size_t kBound = 256;

  /// The message of this id, or null.
  seen_message* Find(uint16_t id, absl::Time now);
  void Add(uint16_t id, std::string answer, absl::Time expires_at,
           absl::Time now);
  /// What repeats get from now on; without effect when the id is forgotten.
  /// `settled` tells the final answer from an empty acknowledgement.
  void SetAnswer(uint16_t id, std::string answer, bool settled);
  void Forget(uint16_t id) { messages_.erase(id); }
  /// Every message, in the order of arrival.
  std::deque<seen_message> All() const;

 private:
  void MakeRoom(absl::Time now);

  absl::flat_hash_map<uint16_t, seen_message> messages_;
  std::deque<uint16_t> order_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_SEEN_MESSAGES_H_
