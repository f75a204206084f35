#ifndef CARDAMOMROUTE_REQUESTS_REQUEST_TEST_SUPPORT_H_
#define CARDAMOMROUTE_REQUESTS_REQUEST_TEST_SUPPORT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "requests/request_core.h"

namespace cardamomroute::requests_test {

/// Faults that a simulation injects. A percentage applies to each occasion
/// independently.
struct simulation_faults {
  int caller_loss_percent = 0;
  int caller_duplicate_percent = 0;
  /// Datagrams from callers that take up to nine seconds to arrive.
  int caller_delay_percent = 0;
  int upstream_loss_percent = 0;
  int upstream_shed_percent = 0;
  /// Longest run time of a request in the upstream.
  int max_run_ms = 50;
  /// Callers that lose their socket and send the request again from another
  /// one, with the same Echo value.
  int new_socket_percent = 0;
  /// Legs that stop delivering messages for good from their third message on.
  int silent_leg_percent = 0;
  /// Time after the start at which the first target drains or crashes; 0 for
  /// never.
  int drain_at_ms = 0;
  int crash_at_ms = 0;
};

/// Outcome of a call as its final response reported it to the caller.
enum class call_outcome : uint8_t {
  kNoResponse,
  kAnswered,
  kNotRun,
  kUnknown,
  kRefused
};

/// A call: a non-idempotent write or an idempotent read.
struct simulated_call {
  bool idempotent = false;
  call_outcome outcome = call_outcome::kNoResponse;
  /// Final responses that the caller received.
  int final_responses = 0;
  /// Runs of the call at the time of its final response.
  int runs_at_response = 0;
};

/// Simulates callers, two request cores with one upstream each and a network
/// that loses, duplicates, delays and reorders datagrams. The seed determines
/// the whole run.
class request_simulation {
 public:
  request_simulation(uint64_t seed, simulation_faults faults,
                     uint32_t slots = 2);
  ~request_simulation();
  request_simulation(const request_simulation&) = delete;
  request_simulation& operator=(const request_simulation&) = delete;

  /// Sends `calls` calls from `callers` callers at random times within `span`
  /// and runs until every call must have completed.
  void Run(int callers, int calls, absl::Duration span);

  /// Number of non-idempotent calls that ran more than once.
  int DuplicateRuns() const;
  /// Number of calls that ran although their response said that they did not.
  /// A read counts only if it ran before the response: the successor of a
  /// crashed target may run a late copy of its datagram, which is harmless.
  int FalseNotRunResponses() const;
  /// Number of responses that carry the payload of another request.
  int MismatchedResponses() const { return mismatched_responses_; }
  /// Number of kNotRun decisions that were not accompanied by a 5.03 response
  /// with Max-Age to the caller.
  int UnansweredNotRunDecisions() const { return unanswered_not_run_; }
  /// Number of requests that a core did not complete exactly once. A crashed
  /// target may leave its requests incomplete.
  int WrongCompletions() const;
  /// Number of calls with this outcome.
  int Count(call_outcome outcome) const;
  /// Number of runs of all calls in the upstreams.
  int Runs() const { return total_runs_; }
  std::string Summary() const;

 private:
  struct caller;
  struct target;

  void ScheduleAt(absl::Time when, std::function<void()> event);
  bool RandomChance(int percent);
  absl::Duration RandomDelay(int max_us);
  void Ask(int caller_index, int call);
  void SendRequest(int caller_index, int call, std::string echo);
  void Transmit(const flow_key& flow, const std::string& datagram);
  void Retransmit(uint64_t exchange, int attempt);
  void DeliverToCore(const flow_key& flow, const std::string& datagram);
  void DeliverToCaller(const flow_key& flow, const std::string& datagram);
  void RecordOutcome(int call, const coap_message& answer);
  void ApplyActions(int index, const request_actions& actions);
  void CheckNotRunDecisions(const request_actions& actions);
  void DeliverToUpstream(int index, leg_id leg, const std::string& datagram);
  void DeliverFromUpstream(int index, leg_id leg, const coap_message& message);
  void ScheduleTick(int index);
  void HandOver(const flow_key& flow);
  void Drain();
  void Crash();

  std::mt19937_64 random_;
  simulation_faults faults_;
  absl::Time now_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<flow_key, int> holder_by_flow_;
  std::map<flow_key, int> caller_by_flow_;
  std::set<flow_key> flows_in_transit_;
  std::vector<simulated_call> calls_;
  std::map<int, int> runs_by_call_;
  std::map<std::pair<int, uint64_t>, int> completions_;
  int total_runs_ = 0;
  int mismatched_responses_ = 0;
  int unanswered_not_run_ = 0;
  uint64_t next_exchange_id_ = 1;
  uint16_t next_port_ = 1000;
};

}  // namespace cardamomroute::requests_test

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_TEST_SUPPORT_H_
