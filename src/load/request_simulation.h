#ifndef CARDAMOMROUTE_LOAD_REQUEST_SIMULATION_H_
#define CARDAMOMROUTE_LOAD_REQUEST_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "load/call_mix.h"
#include "load/request_ledger.h"
#include "load/simulation_figures.h"
#include "load/simulation_settings.h"
#include "load/target_server.h"
#include "routing/flow_key.h"
#include "routing/simulated_events_test_support.h"

namespace cardamomroute::load {

/// Callers, targets and the network between them, in simulated time.
class request_simulation {
 public:
  explicit request_simulation(const simulation_settings& settings);
  ~request_simulation();
  request_simulation(const request_simulation&) = delete;
  request_simulation& operator=(const request_simulation&) = delete;

  simulation_figures Run();

 private:
  static constexpr target_id kFirstTarget = 100;

  absl::Time now() const { return events_.now(); }
  /// Runs `event` when `delay` has passed.
  void After(absl::Duration delay, std::function<void()> event);
  void At(absl::Time when, std::function<void()> event);
  bool Happens(double share);
  absl::Duration NetworkDelay();
  void ScheduleArrivals();
  void ScheduleReports();
  void Arrive();
  void Try(size_t index, const std::string& echo);
  std::string MakeRequest(size_t index, const std::string& echo);
  void Transmit(size_t index, const std::string& datagram);
  void ToTarget(const flow_key& flow, const std::string& datagram);
  void ToCaller(const flow_key& flow, const std::string& datagram);
  void Conclude(size_t index, const coap_message& answer);
  size_t HolderOf(const flow_key& flow);
  std::vector<size_t> OpenTargets() const;
  size_t Place(const flow_key& flow);
  void Carry(size_t target, const server_output& output);
  void ForwardOne(size_t target, const flow_key& flow,
                  const std::string& datagram);
  void Wake(size_t target);
  void Drain(size_t target);
  void Crash(size_t target);
  void Announce(bool lost);
  void HandOver(size_t from, const flow_key& flow);

  const simulation_settings settings_;
  std::mt19937_64 random_;
  const absl::Time start_;
  simulated_events events_;
  const call_mix calls_;
  request_ledger ledger_;
  std::vector<std::unique_ptr<target_server>> servers_;
  std::vector<bool> takes_flows_;
  std::vector<bool> alive_;
  std::vector<absl::Time> wake_at_;
  std::vector<double> reported_;
  absl::flat_hash_map<flow_key, size_t> holders_;
  std::set<flow_key> in_transit_;
  absl::flat_hash_map<std::pair<flow_key, std::string>, size_t> open_;
  absl::flat_hash_map<flow_key, uint16_t> message_ids_;
  uint32_t next_caller_ = 1;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_REQUEST_SIMULATION_H_
