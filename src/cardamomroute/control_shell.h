#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_SHELL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_SHELL_H_

#include <atomic>

#include "absl/time/time.h"
#include "base/result.h"
#include "base/settings.h"

namespace zmq {
class socket_t;
}  // namespace zmq

namespace cardamomroute {

class control_member;
class local_control;
class local_outlet;
class submission_worker;

/// A control process: one thread that serves nodes, operators and the other
/// control VMs, and writes the data folder, and one that checks texts.
class control_shell {
 public:
  /// `local` is how other threads of the process reach the control thread; it
  /// may be null and outlives the shell.
  explicit control_shell(const settings& configured,
                         local_control* local = nullptr);

  /// Serves until Stop, then hands the leadership away. Fails with kIoFailed
  /// when it cannot listen, and as control_member::Open and Advance.
  result<void> Run();

  /// Called from any thread or a signal handler.
  void Stop() { stopped_.store(true); }

 private:
  result<void> ServeFolder(zmq::socket_t* listening, local_outlet* outlet,
                           submission_worker* worker);
  result<void> Serve(zmq::socket_t* listening, submission_worker* worker,
                     control_member* member);
  void TakeRequests(zmq::socket_t* listening, control_member* member);
  bool IsDone(control_member* member, absl::Time now);

  void TakeLocalRequests(control_member* member);
  void Publish(const control_member& member);

  const settings settings_;
  local_control* const local_;
  std::atomic<bool> stopped_{false};
  /// When to end although this member still leads.
  absl::Time end_at_ = absl::InfiniteFuture();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_SHELL_H_
