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

/// A request sent to the upstream, under a token that the core assigned.
struct upstream_exchange {
  uint64_t id = 0;
  leg_id leg = 0;
  uint16_t message_id = 0;
  std::string token;
  /// Id of the caller's request; 0 once that request was answered without the
  /// upstream's response.
  uint64_t request = 0;
  /// Index of its kind of call.
  size_t kind = 0;
  /// Echo value that admitted the request; empty for idempotent requests.
  std::string echo;
  /// Datagram to retransmit until it is acknowledged; empty if a second
  /// delivery could run the request twice.
  std::string datagram;
  int transmissions = 1;
  bool acknowledged = false;
  /// Holds a slot after its request was answered without the upstream's
  /// response.
  bool holds_slot = false;
  absl::Time started_at;
  absl::Time sent_at;
};

/// Open exchanges with the upstream, indexed by id, by token and by message id.
/// A message from the upstream matches an exchange only if it arrived on the
/// leg of that exchange.
class exchange_table {
 public:
  /// Adds an exchange; its id must be new.
  upstream_exchange* Add(const upstream_exchange& exchange);
  /// The lookups return null if there is no such exchange.
  upstream_exchange* Find(uint64_t id);
  upstream_exchange* FindByToken(leg_id leg, const std::string& token);
  upstream_exchange* FindByMessageId(leg_id leg, uint16_t message_id);
  void Erase(uint64_t id);
  /// Number of open exchanges on a leg.
  size_t CountOn(leg_id leg) const;
  /// Ids, in ascending order, of the exchanges on a leg; on all legs for 0.
  std::vector<uint64_t> IdsOn(leg_id leg) const;

 private:
  absl::node_hash_map<uint64_t, upstream_exchange> exchanges_;
  absl::flat_hash_map<std::pair<leg_id, std::string>, uint64_t> by_token_;
  absl::flat_hash_map<std::pair<leg_id, uint16_t>, uint64_t> by_message_id_;
  absl::flat_hash_map<leg_id, size_t> counts_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_EXCHANGE_TABLE_H_
