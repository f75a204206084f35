#include "cardamomroute/node_mailbox.h"

#include <utility>

namespace cardamomroute {

node_mailbox::node_mailbox(std::function<void()> wake)
    : wake_(std::move(wake)) {}

void node_mailbox::Put(const node_event& event) {
  {
    const std::lock_guard lock(mutex_);
    events_.push_back(event);
  }
  wake_();
}

std::vector<node_event> node_mailbox::TakeAll() {
  const std::lock_guard lock(mutex_);
  return std::exchange(events_, {});
}

}  // namespace cardamomroute
