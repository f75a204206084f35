#ifndef CARDAMOMROUTE_REQUESTS_OBSERVATION_TABLE_H_
#define CARDAMOMROUTE_REQUESTS_OBSERVATION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/time/time.h"
#include "caller/coap_message.h"
#include "requests/request_action.h"

namespace cardamomroute {

/// A caller's observation of an upstream resource (RFC 7641).
struct observation {
  uint64_t id = 0;
  flow_key flow;
  /// Token of the caller's registration.
  std::string token;
  /// The caller's registration request, used to register again with an
  /// upstream.
  coap_message request;
  /// Index of its kind of call.
  size_t kind = 0;
  /// Leg and token of the upstream's notifications; the leg is 0 while the
  /// observation is not registered with the upstream.
  leg_id leg = 0;
  std::string upstream_token;
  /// Observe value of the last notification to the caller.
  uint32_t sequence = 0;
  /// Observe value and arrival time of the last notification from the
  /// upstream.
  std::optional<uint32_t> upstream_sequence;
  absl::Time upstream_notification_at;
  /// Time at which the caller last acknowledged a notification or registered.
  absl::Time acknowledged_at;
  /// Id of the confirmable notification that awaits an acknowledgement; 0 for
  /// none.
  uint64_t unacknowledged_notification = 0;
  /// Message id of the last non-confirmable notification.
  uint16_t last_message_id = 0;
  /// Number of consecutive registrations with the upstream that failed.
  int failed_registrations = 0;
  /// Id of the pending request that registers again with the upstream; 0 for
  /// none.
  uint64_t registration_request = 0;
};

/// True if a notification with Observe value `next` that arrived at `now` is
/// newer than the one with `previous` that arrived at `previous_at` (RFC 7641,
/// section 3.4).
bool IsNewerNotification(uint32_t previous, absl::Time previous_at,
                         uint32_t next, absl::Time now);

/// Observations, indexed by id, by the caller's token and by the upstream's.
class observation_table {
 public:
  /// Adds an observation; `value.id` must be new.
  observation* Add(const observation& value);
  /// The lookups return null if there is no such observation.
  observation* Find(uint64_t id);
  observation* FindByCaller(const flow_key& flow, const std::string& token);
  observation* FindByUpstream(leg_id leg, const std::string& token);
  /// Sets the leg and token of the upstream's notifications and clears the
  /// last Observe value of the upstream. Leg 0 unbinds the observation.
  void Bind(observation* value, leg_id leg, std::string token);
  void Erase(uint64_t id);
  /// Number of observations that are bound to a leg.
  size_t CountOn(leg_id leg) const;
  /// Ids, in ascending order, of the observations of a flow, on a leg, or of
  /// all.
  std::vector<uint64_t> IdsOf(const flow_key& flow) const;
  std::vector<uint64_t> IdsOn(leg_id leg) const;
  std::vector<uint64_t> AllIds() const;

 private:
  absl::node_hash_map<uint64_t, observation> observations_;
  absl::flat_hash_map<std::pair<flow_key, std::string>, uint64_t> by_caller_;
  absl::flat_hash_map<std::pair<leg_id, std::string>, uint64_t> by_upstream_;
  absl::flat_hash_map<leg_id, size_t> counts_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_OBSERVATION_TABLE_H_
