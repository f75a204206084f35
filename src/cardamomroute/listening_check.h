#ifndef CARDAMOMROUTE_CARDAMOMROUTE_LISTENING_CHECK_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_LISTENING_CHECK_H_

#include <cstdint>
#include <functional>

#include "absl/time/time.h"
#include "base/endpoint.h"

namespace cardamomroute {

class event_loop;

/// What a listening_check has found.
enum class listening_state : uint8_t {
  /// Somebody accepts connections.
  kListens,
  /// The kernel refuses connections: nobody listens.
  kRefuses,
  /// No answer in time, or another failure.
  kUnknown,
};

/// A check that is not over by then has found nothing.
inline constexpr absl::Duration kListeningPatience = absl::Milliseconds(400);

/// Asks whether anybody listens at a TCP address, by a connection that is
/// closed at once and carries nothing.
class listening_check {
 public:
  using handler = std::function<void(listening_state)>;

  /// `loop` outlives the check.
  listening_check(event_loop* loop, handler handle);
  listening_check(const listening_check&) = delete;
  listening_check& operator=(const listening_check&) = delete;
  ~listening_check();

  /// The handler is told what was found, perhaps before Begin returns. Does
  /// nothing while a check is under way.
  void Begin(const endpoint& address, absl::Time now);

  /// Ends a check that takes too long; returns when to call it again.
  absl::Time Tick(absl::Time now);

 private:
  void OnConnected();
  void Finish(listening_state found);

  event_loop* const loop_;
  const handler handle_;
  int fd_ = -1;
  absl::Time deadline_ = absl::InfiniteFuture();
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_LISTENING_CHECK_H_
