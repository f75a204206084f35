#ifndef CARDAMOMROUTE_LOAD_CALLER_FLEET_H_
#define CARDAMOMROUTE_LOAD_CALLER_FLEET_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "load/caller_plan.h"
#include "load/outcome_counts.h"

struct coap_context_t;
struct coap_session_t;
struct coap_pdu_t;

namespace cardamomroute::load {

/// Stand-in callers on libcoap client sessions; each session is a flow and
/// has at most one request under way.
class caller_fleet {
 public:
  explicit caller_fleet(const caller_plan& plan);
  caller_fleet(const caller_fleet&) = delete;
  caller_fleet& operator=(const caller_fleet&) = delete;
  ~caller_fleet();

  /// Opens the sessions; false when libcoap cannot.
  bool Open();

  /// Sends at the planned rate, then waits for what is under way.
  void Run();

  const outcome_counts& counts() const { return counts_; }

  /// Called by libcoap through its handlers.
  void OnResponse(coap_session_t* session, const coap_pdu_t* received);
  void OnGivenUp(coap_session_t* session);

 private:
  struct caller_session {
    coap_session_t* session = nullptr;
    std::string request_id;
    std::string token;
    /// Requests of this session that have ended.
    std::set<std::string> past_ids;
    absl::Time sent_at = absl::InfinitePast();
    absl::Time give_up_at = absl::InfiniteFuture();
    absl::Time last_notification = absl::InfinitePast();
    bool observing = false;
  };

  caller_session* Find(coap_session_t* session);
  void SendNext(absl::Time now);
  void Send(caller_session* caller, absl::Time now);
  /// `received` is the answer, or null.
  void Finish(caller_session* caller, outcome value,
              const coap_pdu_t* received);
  /// The id of the request that an answer names; empty where it names none.
  static std::string IdIn(const coap_pdu_t* received);
  /// An answer to a request that has ended here (RFC 7252, section 5.3.2). Its
  /// token need not be that of the request: libcoap has others for blocks and
  /// for repeats with an Echo value.
  static bool IsLate(const caller_session& caller, const coap_pdu_t* received);
  static bool IsRepeat(const caller_session& caller,
                       const coap_pdu_t* received);
  outcome Judge(const caller_session& caller, const coap_pdu_t* received) const;
  void GiveUpOverdue(absl::Time now);
  bool AnyUnderWay() const;
  void CountSilentObservations(absl::Time now);

  const caller_plan plan_;
  coap_context_t* context_ = nullptr;
  std::vector<caller_session> sessions_;
  size_t next_session_ = 0;
  uint64_t next_request_ = 0;
  outcome_counts counts_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_CALLER_FLEET_H_
