#ifndef CARDAMOMROUTE_REQUESTS_LEG_POOL_H_
#define CARDAMOMROUTE_REQUESTS_LEG_POOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "requests/request_action.h"

namespace cardamomroute {

/// Health of a leg.
enum class leg_health : uint8_t {
  kAlive,
  /// Idle for too long: send a probe over this leg and over another one.
  kProbe,
  /// Its probes went unanswered while another leg received traffic.
  kLost,
};

/// The legs to the upstream, addressed by their place (index) in the pool.
/// Flows are assigned to a place by hash; a lost leg is replaced by a new leg
/// in the same place.
class leg_pool {
 public:
  /// Idle time after which a leg with pending exchanges is probed.
  static constexpr absl::Duration kExchangeIdleTimeout =
      absl::Milliseconds(500);
  /// Idle time after which a leg with only observations is probed.
  static constexpr absl::Duration kObservationIdleTimeout = absl::Seconds(2);
  /// Time between probes.
  static constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
  /// Unanswered probes after which a leg may be declared lost.
  static constexpr int kProbesBeforeLost = 4;

  /// Reserves max(`places`, 1) places for traffic plus one for the reference
  /// leg. `seed` sets the initial message ids.
  leg_pool(size_t places, uint64_t seed);

  size_t PlaceOf(uint64_t flow_hash) const { return flow_hash % Places(); }
  /// The leg at this place; 0 if none is open.
  leg_id At(size_t place) const { return legs_[place].id; }
  /// The place of this leg; none if it was closed.
  std::optional<size_t> PlaceOfLeg(leg_id leg) const;
  /// Opens a new leg at this place and closes the old one, if any.
  leg_id Open(size_t place, absl::Time now);
  void Close(size_t place);
  /// Number of places for traffic.
  size_t Places() const { return legs_.size() - 1; }
  /// The place of the reference leg, after those for traffic. This leg carries
  /// only probes and is reopened while it gets no answer, so that other legs
  /// are compared with a leg whose state no middlebox can have dropped yet.
  size_t Reference() const { return legs_.size() - 1; }

  uint16_t NextMessageId(size_t place) { return legs_[place].next_id++; }
  /// Records that a message expecting an answer was sent over this leg.
  void OnSent(size_t place, absl::Time now);
  /// Records that a datagram arrived over this leg.
  void OnHeard(size_t place, absl::Time now);
  /// Checks the leg at this place, which may be idle for less than `quiet`.
  /// Counts a probe when it returns kProbe.
  leg_health Check(size_t place, absl::Duration quiet, absl::Time now);
  /// When to call Check() next, not before `now`.
  absl::Time NextCheck(size_t place, absl::Duration quiet,
                       absl::Time now) const;
  /// True if nothing has arrived since the leg was opened or the first message
  /// was sent after the last arrival.
  bool IsUnanswered(size_t place) const;
  /// True if the leg is unanswered, but for less than kProbeInterval.
  bool IsAnswerPending(size_t place, absl::Time now) const;

 private:
  struct upstream_leg {
    leg_id id = 0;
    uint16_t next_id = 0;
    int probes = 0;
    absl::Time heard_at = absl::InfinitePast();
    /// When the leg was opened, or when the first message after the last
    /// arrival was sent.
    absl::Time unanswered_since = absl::InfinitePast();
    absl::Time first_probe_at = absl::InfinitePast();
  };

  absl::Time IdleSince(size_t place) const;
  bool OthersHeardSince(size_t place, absl::Time since) const;

  std::vector<upstream_leg> legs_;
  absl::flat_hash_map<leg_id, size_t> places_;
  leg_id next_leg_ = 1;
  uint64_t seed_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_LEG_POOL_H_
