#ifndef CARDAMOMROUTE_LOAD_UPSTREAM_MODEL_H_
#define CARDAMOMROUTE_LOAD_UPSTREAM_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "base/endpoint.h"
#include "caller/coap_message.h"

namespace cardamomroute::load {

/// How a stand-in upstream behaves.
struct upstream_behaviour {
  std::string service;
  std::string name;
  /// Requests run at the same time; more wait in order of arrival.
  uint32_t slots = 2;
  /// Requests that wait; beyond them it sheds with 5.03.
  uint32_t queue = 64;
  int64_t run_ms = 20;
  int64_t notify_ms = 500;
  /// Path whose GET gives out a file; none where empty.
  std::string download_path;
  size_t download_bytes = 40000;
  /// Option that tells how many milliseconds a request has left; 0: none. A
  /// request whose time is over is not begun, or is stopped, with 5.04.
  uint16_t deadline_option = 0;
  /// Where it reports its load; empty: nowhere.
  std::string report_path;
  /// Age that a report may have.
  int64_t report_lag_ms = 0;
  /// Said in place of the truth, word for word, when not empty.
  std::string report_lie;
};

/// A datagram to send.
struct outgoing_datagram {
  endpoint remote;
  std::string bytes;
};

/// An upstream of either user's services: runs requests in slots, takes
/// block-wise uploads, gives out block-wise files and notifies observers.
class upstream_model {
 public:
  explicit upstream_model(upstream_behaviour behaviour);

  std::vector<outgoing_datagram> OnDatagram(const endpoint& remote,
                                            const std::string& bytes,
                                            absl::Time now);
  std::vector<outgoing_datagram> OnTick(absl::Time now);
  absl::Time NextDeadline() const;

  /// Ids of the requests that ran since the last call, one for each run.
  std::vector<std::string> TakeRuns();

 private:
  struct request {
    endpoint remote;
    coap_message message;
    std::string id;
    uint64_t body_bytes = 0;
    absl::Time deadline = absl::InfiniteFuture();
  };
  struct running_request {
    request work;
    absl::Time done_at;
  };
  struct observer {
    request registration;
    uint32_t sequence = 0;
  };
  using exchange_key = std::pair<endpoint, uint16_t>;
  using observer_key = std::pair<endpoint, std::string>;

  void OnRequest(const endpoint& remote, const coap_message& message,
                 absl::Time now);
  absl::Time DeadlineOf(const coap_message& message, absl::Time now) const;
  void AnswerReport(const request& asked, absl::Time now);
  bool AbsorbBlock(request* arrived, absl::Time now);
  void Admit(request arrived, absl::Time now);
  void StartWaiting(absl::Time now);
  void Start(request work, absl::Time now);
  void Finish(const running_request& run);
  void FinishDue(absl::Time now);
  void NotifyDue(absl::Time now);
  void Answer(const request& work, uint8_t code);
  void Register(const request& work);
  bool IsObserved(const request& work) const;
  std::string Body(const request& work) const;
  coap_message Response(const request& work, uint8_t code) const;
  void AddFileBlock(const request& work, coap_message* response) const;
  void Send(const endpoint& remote, const coap_message& message);
  std::vector<outgoing_datagram> TakeOutgoing();

  const upstream_behaviour behaviour_;
  uint16_t next_message_id_ = 1;
  std::deque<request> waiting_;
  std::vector<running_request> running_;
  std::map<observer_key, observer> observers_;
  absl::Time next_notification_ = absl::InfinitePast();
  absl::flat_hash_map<observer_key, uint64_t> uploads_;
  /// Confirmable messages already taken, so that a retransmission is
  /// acknowledged and not run again (RFC 7252, section 4.5).
  std::set<exchange_key> taken_;
  std::deque<std::pair<absl::Time, exchange_key>> taken_until_;
  size_t reported_busy_ = 0;
  absl::Time reported_at_ = absl::InfinitePast();
  std::vector<std::string> runs_;
  std::vector<outgoing_datagram> outgoing_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_UPSTREAM_MODEL_H_
