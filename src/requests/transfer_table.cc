#include "requests/transfer_table.h"

#include <algorithm>
#include <array>
#include <iterator>

#include "requests/sorted_ids.h"

namespace cardamomroute {
namespace {

constexpr std::array<option_number, 3> kKeyOptions = {
    option_number::kUriPath, option_number::kUriQuery,
    option_number::kRequestTag};

bool IsKeyOption(uint16_t number) {
  return std::any_of(kKeyOptions.begin(), kKeyOptions.end(),
                     [number](option_number key) {
                       return static_cast<uint16_t>(key) == number;
                     });
}

/// Byte offset of a block in the representation.
uint64_t BlockOffset(const block_value& block) {
  return uint64_t{block.number} << (block.size_exponent + 4);
}

}  // namespace

std::string TransferKey(const coap_message& request) {
  coap_message common;
  common.code = request.code;
  std::copy_if(
      request.options.begin(), request.options.end(),
      std::back_inserter(common.options),
      [](const message_option& option) { return IsKeyOption(option.number); });
  return SerializeCoap(common);
}

bool ContinuesRepresentation(const block_transfer& transfer,
                             const coap_message& request,
                             const coap_message& response) {
  const auto requested = FindBlock(request, option_number::kBlock2);
  const auto received = FindBlock(response, option_number::kBlock2);
  return requested && received &&
         BlockOffset(*requested) == BlockOffset(*received) &&
         !transfer.etag.empty() &&
         OptionValue(response, option_number::kEtag) == transfer.etag;
}

block_transfer* transfer_table::Add(const block_transfer& transfer) {
  const uint64_t id = transfer.id;
  index_[{transfer.flow, transfer.key}] = id;
  return &transfers_.emplace(id, transfer).first->second;
}

block_transfer* transfer_table::Find(uint64_t id) {
  const auto it = transfers_.find(id);
  return it == transfers_.end() ? nullptr : &it->second;
}

block_transfer* transfer_table::Find(const flow_key& flow,
                                     const std::string& key) {
  const auto it = index_.find({flow, key});
  return it == index_.end() ? nullptr : Find(it->second);
}

void transfer_table::KeepSlot(block_transfer* transfer, absl::Time now) {
  transfer->holds_slot = true;
  transfer->idle_since = now;
  idle_.emplace(now, transfer->id);
}

bool transfer_table::ReclaimSlot(block_transfer* transfer) {
  const bool had_slot = transfer->holds_slot;
  transfer->holds_slot = false;
  idle_.erase({transfer->idle_since, transfer->id});
  return had_slot;
}

block_transfer* transfer_table::LongestIdle() {
  return idle_.empty() ? nullptr : Find(idle_.begin()->second);
}

bool transfer_table::HasUpload(size_t place, const std::string& key) const {
  return std::any_of(transfers_.begin(), transfers_.end(),
                     [&](const auto& entry) {
                       const block_transfer& transfer = entry.second;
                       return transfer.is_upload && transfer.place == place &&
                              transfer.key == key;
                     });
}

std::vector<uint64_t> transfer_table::AnsweredDownloadsOf(
    const flow_key& flow) const {
  return SortedIdsIf(transfers_, [&](const block_transfer& transfer) {
    return transfer.flow == flow && !transfer.is_upload &&
           transfer.last_answer.has_value();
  });
}

std::vector<uint64_t> transfer_table::IdsOf(const flow_key& flow) const {
  return SortedIdsIf(transfers_, [&](const block_transfer& transfer) {
    return transfer.flow == flow;
  });
}

std::vector<uint64_t> transfer_table::AllIds() const {
  return SortedIds(transfers_);
}

void transfer_table::Erase(uint64_t id) {
  const auto it = transfers_.find(id);
  if (it == transfers_.end()) {
    return;
  }
  const auto index_entry = index_.find({it->second.flow, it->second.key});
  if (index_entry != index_.end() && index_entry->second == id) {
    index_.erase(index_entry);
  }
  transfers_.erase(it);
}

}  // namespace cardamomroute
