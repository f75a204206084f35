#ifndef CARDAMOMROUTE_REQUESTS_CORE_DRIVER_TEST_SUPPORT_H_
#define CARDAMOMROUTE_REQUESTS_CORE_DRIVER_TEST_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "requests/request_core.h"

namespace cardamomroute::requests_test {

/// The flow of the caller with this port.
flow_key FlowOf(uint16_t port);

/// A request for `path`, and an answer.
coap_message Request(uint8_t code, const char* path, const char* token);
coap_message Answer(uint8_t code, const std::string& payload);

/// A datagram to the upstream, read.
struct upstream_request {
  leg_id leg = 0;
  coap_message message;
};

/// Drives one core and keeps what it sent. Its service has a critical write
/// at /writes, an urgent read at /items and an ordinary one at /scans.
class core_driver {
 public:
  explicit core_driver(target_id incarnation, uint32_t slots = 1,
                       size_t dedup_capacity = 100);

  request_core& core() { return *core_; }
  absl::Time now() const { return now_; }

  /// Lets time go on, with a tick at each deadline of the core.
  void Advance(absl::Duration by);

  /// A message comes in; one of a caller gets a new message id.
  void FromCaller(const flow_key& flow, coap_message message);
  void FromUpstream(leg_id leg, const coap_message& message);

  /// The upstream answers `request` with `answer`, as an acknowledgement.
  void Answer(const upstream_request& request, coap_message answer);

  /// A core gives its upstream one request at a time until some are answered.
  void WarmUp();

  /// Sorts what the core wants into the lists below.
  void Take(const request_actions& actions);

  /// Replies to probes on every leg but this one.
  void AnswerProbes(leg_id silent);

  std::vector<upstream_request> upstream;
  std::vector<upstream_request> controls;
  std::map<flow_key, std::vector<coap_message>> callers;
  std::map<decision_kind, int> decisions;
  std::vector<flow_key> idle_flows;

 private:
  void TakeOne(const request_action& action);
  void KeepSent(const send_to_upstream& sent);

  std::unique_ptr<request_core> core_;
  absl::Time now_ = absl::FromUnixSeconds(5000);
  uint16_t next_id_ = 0;
};

/// Gets an Echo value for the flow and returns a write that carries it.
coap_message FreshWrite(core_driver* driver, const flow_key& flow,
                        const char* payload);

/// A block of an upload.
coap_message Block(uint32_t number, bool more);

/// A request for a block of a file, and the block.
coap_message AskBlock(uint32_t number);
coap_message FileBlock(uint32_t number, bool more, const std::string& etag);

/// Drains `from` and hands its flow over to `to`.
void HandOver(core_driver* from, core_driver* to, const flow_key& flow);

/// Takes the only slot of a core and fills its queue.
void Crowd(core_driver* driver);

}  // namespace cardamomroute::requests_test

#endif  // CARDAMOMROUTE_REQUESTS_CORE_DRIVER_TEST_SUPPORT_H_
