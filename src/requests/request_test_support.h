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

/// What goes wrong in a run of the bench; shares are percentages.
struct bench_faults {
  int caller_loss = 0;
  int caller_repeat = 0;
  /// Datagrams of callers that take up to nine seconds.
  int caller_late = 0;
  int upstream_loss = 0;
  int shed = 0;
  int longest_run_ms = 50;
  /// Callers that lose their socket ask again from another with their Echo.
  int new_socket = 0;
  /// Legs that go silent for good after their first messages.
  int silent_leg = 0;
  /// When the first target drains or crashes; 0 for never.
  int drain_at_ms = 0;
  int crash_at_ms = 0;
};

/// What a caller was told about one of its calls.
enum class told : uint8_t { kNothing, kAnswered, kNotRun, kUnknown, kRefused };

/// One call: a non-idempotent write, or an idempotent read.
struct bench_call {
  bool idempotent = false;
  told outcome = told::kNothing;
  int finals = 0;
  /// Runs when the caller was told.
  int runs_when_told = 0;
};

/// Callers, two request cores with an upstream each, and a network between
/// them that loses, repeats, delays and reorders; all driven by one seed.
class request_bench {
 public:
  request_bench(uint64_t seed, bench_faults faults, uint32_t slots = 2);
  ~request_bench();
  request_bench(const request_bench&) = delete;
  request_bench& operator=(const request_bench&) = delete;

  /// Sends `calls` calls of `callers` callers spread over `span`, then runs
  /// until everything is settled.
  void Run(int callers, int calls, absl::Duration span);

  /// Calls whose runs number more than one though not idempotent.
  int DuplicateRuns() const;
  /// Calls that ran although their caller was told that they did not. A
  /// read counts when it ran before that: a late copy of its datagram may
  /// be run by the successor of a crashed target, which is harmless.
  int FalseNotRun() const;
  /// Answers that belong to another request than the one they came for.
  int CrossedAnswers() const { return crossed_; }
  /// Decisions not to run that did not come with an answer at once.
  int LateGiveUps() const { return late_give_ups_; }
  /// Requests that the cores ended more than once, or never.
  int WrongEnds() const;
  int Count(told outcome) const;
  int Runs() const { return runs_total_; }
  std::string Summary() const;

 private:
  struct caller;
  struct target;

  void At(absl::Time when, std::function<void()> event);
  bool Happens(int percent);
  absl::Duration Delay(int longest_us);
  void Ask(int caller_index, int call);
  void SendRequest(int caller_index, int call, std::string echo);
  void Transmit(const flow_key& flow, const std::string& datagram);
  void Retransmit(uint64_t exchange, int attempt);
  void ToCore(const flow_key& flow, const std::string& datagram);
  void ToCaller(const flow_key& flow, const std::string& datagram);
  void Final(int call, const coap_message& answer);
  void Carry(int index, const request_actions& actions);
  void CheckGiveUps(const request_actions& actions);
  void ToUpstream(int index, leg_id leg, const std::string& datagram);
  void FromUpstream(int index, leg_id leg, const coap_message& message);
  void Schedule(int index);
  void HandOver(const flow_key& flow);
  void Drain();
  void Crash();

  std::mt19937_64 random_;
  bench_faults faults_;
  absl::Time now_;
  std::multimap<absl::Time, std::function<void()>> events_;
  std::vector<std::unique_ptr<target>> targets_;
  std::vector<std::unique_ptr<caller>> callers_;
  std::map<flow_key, int> holder_;
  std::map<flow_key, int> owner_;
  std::set<flow_key> in_transit_;
  std::vector<bench_call> calls_;
  std::map<int, int> runs_;
  std::map<std::pair<int, uint64_t>, int> ends_;
  int runs_total_ = 0;
  int crossed_ = 0;
  int late_give_ups_ = 0;
  uint64_t next_exchange_ = 1;
  uint16_t next_port_ = 1000;
};

}  // namespace cardamomroute::requests_test

#endif  // CARDAMOMROUTE_REQUESTS_REQUEST_TEST_SUPPORT_H_
