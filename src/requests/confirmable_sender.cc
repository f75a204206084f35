#include "requests/confirmable_sender.h"

#include "requests/protocol_times.h"
#include "requests/sorted_ids.h"

namespace cardamomroute {

const confirmable_message& confirmable_sender::Add(confirmable_message message,
                                                   absl::Time now) {
  std::uniform_real_distribution<double> factor(1.0, kAckRandomFactor);
  message.id = next_id_++;
  message.sent_at = now;
  message.retransmit_at = now + kAckTimeout * factor(random_);
  index_[{message.flow, message.message_id}] = message.id;
  return messages_.emplace(message.id, std::move(message)).first->second;
}

std::optional<confirmable_message> confirmable_sender::OnReply(
    const flow_key& flow, uint16_t message_id) {
  const auto it = index_.find({flow, message_id});
  return it == index_.end() ? std::nullopt : Remove(it->second);
}

const confirmable_message* confirmable_sender::OnRetransmitTimeout(
    uint64_t id, absl::Time now) {
  const auto it = messages_.find(id);
  if (it == messages_.end() || it->second.transmissions > kMaxRetransmit) {
    return nullptr;
  }
  confirmable_message& message = it->second;
  const absl::Duration timeout = message.retransmit_at - message.sent_at;
  ++message.transmissions;
  message.sent_at = now;
  message.retransmit_at = now + 2 * timeout;
  return &message;
}

std::optional<confirmable_message> confirmable_sender::Remove(uint64_t id) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) {
    return std::nullopt;
  }
  confirmable_message message = std::move(it->second);
  messages_.erase(it);
  const auto index_entry = index_.find({message.flow, message.message_id});
  if (index_entry != index_.end() && index_entry->second == id) {
    index_.erase(index_entry);
  }
  return message;
}

std::vector<uint64_t> confirmable_sender::IdsOf(const flow_key& flow) const {
  return SortedIdsIf(messages_, [&](const confirmable_message& message) {
    return message.flow == flow;
  });
}

const confirmable_message* confirmable_sender::Find(uint64_t id) const {
  const auto it = messages_.find(id);
  return it == messages_.end() ? nullptr : &it->second;
}

}  // namespace cardamomroute
