#ifndef CARDAMOMROUTE_REQUESTS_EXCHANGE_TABLE_H_
#define CARDAMOMROUTE_REQUESTS_EXCHANGE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "requests/request_action.h"

namespace cardamomroute {

/// One request as sent to the upstream, under a token of our own.
struct upstream_exchange {
  uint64_t id = 0;
  leg_id leg = 0;
  uint16_t message_id = 0;
  std::string token;
  /// The request it runs; 0 once that was answered without it.
  uint64_t request = 0;
  /// Index of its kind of call.
  size_t kind = 0;
  /// The Echo value that admitted the run; empty for idempotent requests.
  std::string echo;
  /// What to send again while unacknowledged; empty where a second delivery
  /// could be a second run.
  std::string datagram;
  int transmissions = 1;
  bool acknowledged = false;
  /// Keeps a slot although its request was answered.
  bool holds_slot = false;
  absl::Time started_at;
  absl::Time sent_at;
};

/// Exchanges with the upstream that are open, by token and by message id. A
/// message from the upstream belongs to an exchange only if it came over that
/// exchange's leg.
class exchange_table {
 public:
  upstream_exchange* Add(const upstream_exchange& exchange);
  upstream_exchange* Find(uint64_t id);
  upstream_exchange* FindByToken(leg_id leg, const std::string& token);
  upstream_exchange* FindByMessageId(leg_id leg, uint16_t message_id);
  void Erase(uint64_t id);
  size_t CountOn(leg_id leg) const;
  /// Ids of the exchanges on a leg, in order; of all legs for 0.
  std::vector<uint64_t> IdsOn(leg_id leg) const;

 private:
  absl::node_hash_map<uint64_t, upstream_exchange> exchanges_;
  absl::flat_hash_map<std::pair<leg_id, std::string>, uint64_t> by_token_;
  absl::flat_hash_map<std::pair<leg_id, uint16_t>, uint64_t> by_message_id_;
  absl::flat_hash_map<leg_id, size_t> counts_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_EXCHANGE_TABLE_H_
