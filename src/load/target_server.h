#ifndef CARDAMOMROUTE_LOAD_TARGET_SERVER_H_
#define CARDAMOMROUTE_LOAD_TARGET_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"
#include "routing/flow_key.h"
#include "view/view.h"

namespace cardamomroute::load {

/// What stands before the slots of a target.
enum class server_kind : uint8_t {
  /// The project's request core.
  kRequestCore,
  /// First come, first served, with the same bound on the queue.
  kFirstComeFirstServed,
  /// First come, first served, without any bound.
  kNoLimit,
};

/// A request that an upstream ran.
struct finished_run {
  /// Number of the request in the simulation.
  size_t request = 0;
  absl::Duration work;
};

/// What a server wants done.
struct server_output {
  std::vector<std::pair<flow_key, std::string>> to_callers;
  std::vector<std::pair<flow_key, std::string>> forwarded;
  std::vector<target_id> forwarded_to;
  std::vector<flow_key> idle;
  std::vector<finished_run> runs;
};

/// One target: its upstream and what decides before it.
class target_server {
 public:
  virtual ~target_server() = default;

  virtual server_output OnCaller(const flow_key& flow,
                                 const std::string& datagram, bool forwarded,
                                 absl::Time now) = 0;
  virtual server_output OnTick(absl::Time now) = 0;
  virtual absl::Time NextDeadline() const = 0;
  /// Requests that run and wait, for each slot.
  virtual double Load() const = 0;

  virtual void OnLive(const absl::flat_hash_set<target_id>& /*live*/,
                      bool /*lost*/, absl::Time /*now*/) {}
  virtual server_output BeginDrain(absl::Time /*now*/) { return {}; }
  virtual std::string Export(const flow_key& /*flow*/, absl::Time /*now*/) {
    return {};
  }
  virtual server_output Import(const flow_key& /*flow*/,
                               const std::string& /*state*/,
                               absl::Time /*now*/) {
    return {};
  }
};

/// Kinds of call in the simulation, in their order there.
const std::vector<call_kind>& SimulatedCalls();

/// Requests that may wait for each slot.
constexpr size_t kSimulatedQueuePerSlot = 16;

std::unique_ptr<target_server> MakeServer(server_kind kind, target_id id,
                                          uint32_t slots, uint64_t seed);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_TARGET_SERVER_H_
