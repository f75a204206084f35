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

/// Returns the flow of the caller with this port.
flow_key FlowOf(uint16_t port);

/// Returns a request for `path`.
coap_message Request(uint8_t code, const char* path, const char* token);
/// Returns a response; its token, type and id are not set.
coap_message Answer(uint8_t code, const std::string& payload);

/// A parsed message to the upstream and the leg that it was sent on.
struct upstream_message {
  leg_id leg = 0;
  coap_message message;
};

/// Drives one request core and records the messages that it sends. Its service
/// has a critical non-idempotent POST /writes, an urgent idempotent GET /items
/// and an ordinary idempotent PUT /scans.
class core_driver {
 public:
  explicit core_driver(target_id incarnation, uint32_t slots = 1,
                       size_t dedup_capacity = 100);

  request_core& core() { return *core_; }
  absl::Time now() const { return now_; }

  /// Advances the clock by `by` and ticks the core at each of its deadlines.
  void Advance(absl::Duration by);

  /// Delivers a message from a caller, with a new message id.
  void DeliverFromCaller(const flow_key& flow, coap_message message);
  /// Delivers a message from the upstream on this leg.
  void DeliverFromUpstream(leg_id leg, const coap_message& message);

  /// Delivers `answer` to `request` as a piggybacked response.
  void Answer(const upstream_message& request, coap_message answer);

  /// Has the upstream answer enough requests for the core to use a second slot;
  /// a new core uses one.
  void WarmUp();

  /// Records the actions of the core in the members below.
  void RecordActions(const request_actions& actions);

  /// Answers the recorded probes on all legs but `silent_leg` with a Reset and
  /// clears `control_messages`.
  void AnswerProbes(leg_id silent_leg);

  /// Requests sent to the upstream.
  std::vector<upstream_message> upstream_requests;
  /// Other messages sent to the upstream, such as probes.
  std::vector<upstream_message> control_messages;
  /// Responses sent to callers.
  std::map<flow_key, std::vector<coap_message>> caller_responses;
  std::map<decision_kind, int> decision_counts;
  std::vector<flow_key> idle_flows;

 private:
  void RecordAction(const request_action& action);
  void RecordUpstreamMessage(const send_to_upstream& sent);

  std::unique_ptr<request_core> core_;
  absl::Time now_ = absl::FromUnixSeconds(5000);
  uint16_t next_id_ = 0;
};

/// Has the core challenge a write of the flow and returns the write with the
/// Echo value of the challenge.
coap_message WriteWithEcho(core_driver* driver, const flow_key& flow,
                           const char* payload);

/// Returns a request with one block of an upload.
coap_message UploadBlock(uint32_t number, bool more);

/// Returns a request for one block of a download.
coap_message DownloadRequest(uint32_t number);
/// Returns the response with this block; an empty `etag` is left out.
coap_message DownloadBlock(uint32_t number, bool more, const std::string& etag);

/// Drains `from` and hands the flow over to `to`.
void HandOver(core_driver* from, core_driver* to, const flow_key& flow);

/// Occupies the only slot of a core and fills its queue.
void FillSlotAndQueue(core_driver* driver);

}  // namespace cardamomroute::requests_test

#endif  // CARDAMOMROUTE_REQUESTS_CORE_DRIVER_TEST_SUPPORT_H_
