#include "requests/seen_messages.h"

#include <utility>

namespace cardamomroute {

seen_message* seen_messages::Find(uint16_t id, absl::Time now) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) {
    return nullptr;
  }
  if (it->second.expires_at <= now) {
    messages_.erase(it);
    return nullptr;
  }
  return &it->second;
}

void seen_messages::Add(uint16_t id, std::string answer, absl::Time expires_at,
                        absl::Time now) {
  const bool settled = !answer.empty();
  messages_[id] = {id, std::move(answer), settled, expires_at};
  order_.push_back(id);
  Evict(now);
}

void seen_messages::Evict(absl::Time now) {
  while (!order_.empty()) {
    const auto oldest = messages_.find(order_.front());
    const bool must_stay =
        oldest != messages_.end() && oldest->second.expires_at > now &&
        (order_.size() <= kMaxMessages || !oldest->second.settled);
    if (must_stay) {
      return;
    }
    if (oldest != messages_.end()) {
      messages_.erase(oldest);
    }
    order_.pop_front();
  }
}

void seen_messages::SetAnswer(uint16_t id, std::string answer, bool settled) {
  const auto it = messages_.find(id);
  if (it != messages_.end()) {
    it->second.answer = std::move(answer);
    it->second.settled = settled;
  }
}

std::deque<seen_message> seen_messages::All() const {
  std::deque<seen_message> all;
  for (const uint16_t id : order_) {
    const auto it = messages_.find(id);
    if (it != messages_.end()) {
      all.push_back(it->second);
    }
  }
  return all;
}

}  // namespace cardamomroute
