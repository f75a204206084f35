#ifndef CARDAMOMROUTE_REQUESTS_DEDUP_TABLE_H_
#define CARDAMOMROUTE_REQUESTS_DEDUP_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// State of the single run that an Echo value admits.
struct run_record {
  std::string echo;
  /// HashOf the flow that the Echo value was issued to.
  uint64_t issued_to = 0;
  /// The flow that used the Echo value.
  flow_key flow;
  /// Hash over the request's method, options and payload.
  uint64_t digest = 0;
  /// True once `answer` holds the final answer.
  bool answered = false;
  coap_message answer;
  /// Ids of requests waiting for the answer.
  std::vector<uint64_t> waiting;
  absl::Time expires_at;
};

/// Run records by the Echo value that admitted the run. Bounded: a full table
/// admits no new runs rather than evicting records before they expire.
class dedup_table {
 public:
  explicit dedup_table(size_t bound) : bound_(bound) {}

  size_t size() const { return records_.size(); }
  bool IsFull() const { return records_.size() >= bound_; }

  /// The record for this Echo value, or null.
  run_record* Find(const std::string& echo);
  /// Adds a record without checking the bound. `record.echo` must be new.
  run_record* Add(run_record record);
  /// Keeps a record at least until `expires_at`.
  void ExtendExpiry(run_record* record, absl::Time expires_at);
  /// Removes answered records that have expired. Expired records without an
  /// answer are kept for another EXCHANGE_LIFETIME.
  void Expire(absl::Time now);
  /// Records whose Echo value was issued to the flow or used by it.
  std::vector<run_record*> FindByFlow(const flow_key& flow, uint64_t flow_hash);

 private:
  size_t bound_;
  absl::node_hash_map<std::string, run_record> records_;
  std::set<std::pair<absl::Time, std::string>> by_expiry_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_DEDUP_TABLE_H_
