#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_MAILBOX_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_MAILBOX_H_

#include <functional>
#include <mutex>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "cardamomroute/node_event.h"

namespace cardamomroute {

/// Carries events from the control thread to one traffic thread, in order.
class node_mailbox {
 public:
  /// `wake` makes the traffic thread look; called from the control thread.
  explicit node_mailbox(std::function<void()> wake);

  void Put(const node_event& event);

  /// All events since the last call, oldest first.
  std::vector<node_event> TakeAll();

 private:
  const std::function<void()> wake_;
  /// Not absl::Mutex: the thread sanitizer does not see the locks of a library
  /// that was built without it.
  std::mutex mutex_;
  std::vector<node_event> events_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_MAILBOX_H_
