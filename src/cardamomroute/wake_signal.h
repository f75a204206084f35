#ifndef CARDAMOMROUTE_CARDAMOMROUTE_WAKE_SIGNAL_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_WAKE_SIGNAL_H_

namespace cardamomroute {

/// Wakes a thread that polls (an eventfd).
class wake_signal {
 public:
  wake_signal();
  wake_signal(const wake_signal&) = delete;
  wake_signal& operator=(const wake_signal&) = delete;
  ~wake_signal();

  /// Makes fd() readable; any thread.
  void Raise();

  /// Makes fd() not readable until the next Raise.
  void Clear();

  int fd() const { return fd_; }

 private:
  const int fd_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_WAKE_SIGNAL_H_
