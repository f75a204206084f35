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

/// An active block-wise transfer (RFC 7959): one admitted request that spans
/// several messages.
struct block_transfer {
  uint64_t id = 0;
  flow_key flow;
  /// Value of `TransferKey` for its messages.
  std::string key;
  /// Keeps the slot of its last request until the next block.
  bool holds_slot = false;
  /// Since when it has kept the slot without a running request.
  absl::Time idle_since;
  /// Included in the count of open requests of its flow.
  bool is_open = false;
  /// Echo value that admitted the request; empty for idempotent requests.
  std::string echo;
  /// Place of its leg in the leg pool.
  size_t place = 0;
  /// True if the caller sends the body (Block1); false if the upstream does
  /// (Block2).
  bool is_upload = false;
  /// Block number of the last request.
  uint32_t last_block = 0;
  /// Response to the last request, if it was answered.
  std::optional<coap_message> last_answer;
  /// Imported from a former holder of the flow. Its responses must continue
  /// the representation with this ETag, which the local upstream may not have.
  bool inherited = false;
  std::string etag;
};

/// Returns the serialized method, path, query and Request-Tag of a request,
/// which all messages of one transfer share (RFC 9175, section 3).
std::string TransferKey(const coap_message& request);

/// True if `response` carries the block that `request` asks for and has the
/// ETag of the transfer, so that it belongs to the same representation (RFC
/// 7959, section 2.4). False if the transfer has no ETag to compare.
bool ContinuesRepresentation(const block_transfer& transfer,
                             const coap_message& request,
                             const coap_message& response);

/// Active transfers, indexed by id and by flow and key.
class transfer_table {
 public:
  /// Adds a transfer; its id must be new.
  block_transfer* Add(const block_transfer& transfer);
  /// Returns the transfer, or null if there is none.
  block_transfer* Find(uint64_t id);
  block_transfer* Find(const flow_key& flow, const std::string& key);
  /// Removes a transfer, which must not hold a slot.
  void Erase(uint64_t id);
  /// Marks the transfer as idle with a slot from `now` on.
  void KeepSlot(block_transfer* transfer, absl::Time now);
  /// Takes the slot from the transfer. Returns false if it held none.
  bool ReclaimSlot(block_transfer* transfer);
  /// Returns the transfer that has been idle with a slot for longest, or null.
  block_transfer* LongestIdle();
  /// True if an upload with this key uses the leg at this place. The upstream
  /// could not distinguish a second such upload on the same leg.
  bool HasUpload(size_t place, const std::string& key) const;
  /// Ids, in ascending order, of the downloads of a flow whose last request
  /// was answered.
  std::vector<uint64_t> AnsweredDownloadsOf(const flow_key& flow) const;
  /// Ids of the transfers of a flow, in ascending order.
  std::vector<uint64_t> IdsOf(const flow_key& flow) const;
  /// Ids of all transfers, in ascending order.
  std::vector<uint64_t> AllIds() const;

 private:
  absl::node_hash_map<uint64_t, block_transfer> transfers_;
  absl::flat_hash_map<std::pair<flow_key, std::string>, uint64_t> index_;
  /// Transfers that are idle with a slot, ordered by `idle_since`.
  std::set<std::pair<absl::Time, uint64_t>> idle_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_TRANSFER_TABLE_H_
