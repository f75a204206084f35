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

/// One caller's observation of a resource (RFC 7641), relayed.
struct observation {
  uint64_t id = 0;
  flow_key flow;
  /// The caller's token.
  std::string token;
  /// The caller's request, to register again with.
  coap_message request;
  size_t kind = 0;
  /// Where the upstream sends notifications; leg 0 while not registered.
  leg_id leg = 0;
  std::string upstream_token;
  /// Sequence number of the last notification to the caller.
  uint32_t sequence = 0;
  /// Of the last notification from the upstream.
  std::optional<uint32_t> upstream_sequence;
  absl::Time upstream_notification_at;
  /// When the caller last acknowledged a notification or registered.
  absl::Time acknowledged_at;
  /// The unacknowledged notification, 0 for none.
  uint64_t unacknowledged_notification = 0;
  /// Message id of the last notification that was not confirmable.
  uint16_t last_message_id = 0;
  /// Registrations that failed in a row.
  int failed_registrations = 0;
  /// The request that registers it again, 0 for none.
  uint64_t registration_request = 0;
};

/// True when a notification with number `next` that came at `now` is newer
/// (RFC 7641, section 3.4).
bool IsNewerNotification(uint32_t previous, absl::Time previous_at,
                         uint32_t next, absl::Time now);

/// Observations by caller's and by upstream's token.
class observation_table {
 public:
  /// Adds an observation; `value.id` is new.
  observation* Add(const observation& value);
  observation* Find(uint64_t id);
  observation* FindByCaller(const flow_key& flow, const std::string& token);
  observation* FindByUpstream(leg_id leg, const std::string& token);
  /// Notifications come over this leg, under this token, from now on; none
  /// for leg 0.
  void Bind(observation* value, leg_id leg, std::string token);
  void Erase(uint64_t id);
  size_t CountOn(leg_id leg) const;
  /// Ids, in order, of the observations of a flow, on a leg, or all.
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
