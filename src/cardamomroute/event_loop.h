#ifndef CARDAMOMROUTE_CARDAMOMROUTE_EVENT_LOOP_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_EVENT_LOOP_H_

#include <atomic>
#include <functional>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

namespace cardamomroute {

/// Waits for readable file descriptors (epoll) and for a deadline. All calls
/// but Stop and Wake belong to the thread that runs it.
class event_loop {
 public:
  event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;
  ~event_loop();

  /// Calls `on_readable` whenever `fd` has something to read.
  void Watch(int fd, std::function<void()> on_readable);
  void Unwatch(int fd);

  /// Calls `on_writable` once `fd`, which is watched, takes more bytes; not
  /// again after that.
  void AwaitWritable(int fd, std::function<void()> on_writable);

  /// Calls `on_tick` after each round of events and when the deadline that
  /// it returned last has come.
  void OnTick(std::function<absl::Time()> on_tick);

  /// Runs until Stop.
  void Run();

  /// Ends Run from any thread or from a signal handler.
  void Stop();

  /// Makes Run go through a round from any thread.
  void Wake();

 private:
  void HandleRound(absl::Time deadline);
  void HandleWritable(int fd);

  int epoll_fd_;
  int wake_fd_;
  std::atomic<bool> stopped_{false};
  absl::flat_hash_map<int, std::function<void()>> readers_;
  absl::flat_hash_map<int, std::function<void()>> writers_;
  std::function<absl::Time()> on_tick_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_EVENT_LOOP_H_
