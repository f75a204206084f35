#ifndef CARDAMOMROUTE_REQUESTS_TRANSFER_TABLE_H_
#define CARDAMOMROUTE_REQUESTS_TRANSFER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "routing/flow_key.h"

namespace cardamomroute {

/// A block-wise transfer (RFC 7959) that is under way: one admitted request
/// in several messages.
struct block_transfer {
  uint64_t id = 0;
  flow_key flow;
  std::string key;
  /// Keeps the slot of its last request for the next block.
  bool holds_slot = false;
  absl::Time idle_since;
  /// Counts among the open requests of its flow.
  bool is_open = false;
  /// The Echo value that admitted it; empty for idempotent requests.
  std::string echo;
  /// Place of the leg that carries it.
  size_t place = 0;
  /// The caller sends the body (Block1); else the upstream does (Block2).
  bool is_upload = false;
  /// Block number of the last request, and its answer once there is one.
  uint32_t last_block = 0;
  std::optional<coap_message> last_answer;
  /// A former holder began it: its answers must go on with the representation
  /// of this ETag, which an upstream of ours may not have.
  bool inherited = false;
  std::string etag;
};

/// What the messages of one transfer have in common: method, path, query and
/// Request-Tag (RFC 9175, section 3).
std::string TransferKey(const coap_message& request);

/// True when `response` is the block of the transfer that `request` asks for,
/// of the representation that it began with: the same ETag (RFC 7959, section
/// 2.4). Without an ETag nobody can tell.
bool ContinuesRepresentation(const block_transfer& transfer,
                             const coap_message& request,
                             const coap_message& response);

/// Transfers under way, by flow and key.
class transfer_table {
 public:
  block_transfer* Add(const block_transfer& transfer);
  block_transfer* Find(uint64_t id);
  block_transfer* Find(const flow_key& flow, const std::string& key);
  /// Forgets a transfer that keeps no slot.
  void Erase(uint64_t id);
  /// From `now` on the transfer keeps a slot between two blocks.
  void KeepSlot(block_transfer* transfer, absl::Time now);
  /// Takes the slot back; false when it kept none.
  bool ReclaimSlot(block_transfer* transfer);
  /// The transfer that has kept its slot for longest, or null.
  block_transfer* LongestIdle();
  /// True when a transfer with this key from the caller's side goes over the
  /// leg at this place; the upstream could not tell a second one from it.
  bool HasUpload(size_t place, const std::string& key) const;
  /// Ids of the downloads of a flow whose last block was answered, in order.
  std::vector<uint64_t> AnsweredDownloadsOf(const flow_key& flow) const;
  /// Ids of all transfers of a flow, in order.
  std::vector<uint64_t> IdsOf(const flow_key& flow) const;
  /// Ids of all transfers, in order.
  std::vector<uint64_t> AllIds() const;

 private:
  absl::node_hash_map<uint64_t, block_transfer> transfers_;
  absl::flat_hash_map<std::pair<flow_key, std::string>, uint64_t> index_;
  /// Transfers that keep a slot, the longest first.
  std::set<std::pair<absl::Time, uint64_t>> idle_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_TRANSFER_TABLE_H_
