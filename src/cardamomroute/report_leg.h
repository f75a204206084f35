#ifndef CARDAMOMROUTE_CARDAMOMROUTE_REPORT_LEG_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_REPORT_LEG_H_

#include <cstdint>
#include <string>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "cardamomroute/datagram_batch.h"
#include "cardamomroute/udp_socket.h"
#include "requests/capacity_estimator.h"
#include "requests/report_poller.h"

namespace cardamomroute {

class event_loop;

/// Reads the reports of an upstream over a socket of its own.
class report_leg {
 public:
  /// `slots` is what the upstream can run at the same time; `loop` outlives
  /// the leg.
  report_leg(const endpoint& upstream, const std::string& path, uint32_t slots,
             event_loop* loop);
  ~report_leg();
  report_leg(const report_leg&) = delete;
  report_leg& operator=(const report_leg&) = delete;

  /// Asks when it is time, while `own_busy` requests of ours run. Returns the
  /// share of the slots that new flows may count on; see capacity_estimator.
  double OnTick(uint32_t own_busy, absl::Time now);

 private:
  void Reopen();
  void Receive();
  void Note(poll_verdict verdict);

  const endpoint upstream_;
  event_loop* const loop_;
  report_poller reader_;
  capacity_estimator judge_;
  udp_socket socket_;
  datagram_batch received_;
  /// The most of ours that ran since the last question.
  uint32_t own_busy_ = 0;
  poll_verdict last_verdict_ = poll_verdict::kNone;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_REPORT_LEG_H_
