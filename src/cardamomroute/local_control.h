#ifndef CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_CONTROL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_CONTROL_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "cardamomroute/wake_signal.h"
#include "control/control_state.h"
#include "inner/node.pb.h"

namespace cardamomroute {

class metric_recorder;

/// What a control member has applied, for those who serve it to nodes.
struct control_summary {
  control::shared_configuration configuration;
  /// Where the members of the group are reached, IP:PORT.
  std::vector<std::string> members;
  /// By the control thread; null before it has begun.
  std::shared_ptr<const metric_recorder> measured;
};

/// The way between the control thread and another thread of its process, which
/// serves operators and nodes. Neither waits for the other.
class local_control {
 public:
  local_control();
  local_control(const local_control&) = delete;
  local_control& operator=(const local_control&) = delete;

  /// Called by the control thread whenever there is something to take; set it
  /// before that thread starts.
  void OnNews(std::function<void()> notify) { notify_ = std::move(notify); }

  // The other thread's side.
  void Submit(inner::operator_request request);
  std::vector<inner::operator_answer> TakeAnswers();
  control_summary Summary() const;

  // The control thread's side.
  /// Readable while TakeRequests has something to give.
  int fd() const { return submitted_.fd(); }
  std::vector<inner::operator_request> TakeRequests();
  void Answer(inner::operator_answer answer);
  /// Tells of the state, where it has changed.
  void Publish(
      const control::shared_configuration& configuration,
      const google::protobuf::RepeatedPtrField<inner::member_record>& members,
      std::shared_ptr<const metric_recorder> measured);

 private:
  wake_signal submitted_;
  std::function<void()> notify_;
  mutable std::mutex mutex_;
  std::vector<inner::operator_request> requests_ ABSL_GUARDED_BY(mutex_);
  std::vector<inner::operator_answer> answers_ ABSL_GUARDED_BY(mutex_);
  control_summary summary_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_LOCAL_CONTROL_H_
