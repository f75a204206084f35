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

/// What a look at a leg shows.
enum class leg_health : uint8_t {
  kAlive,
  /// Quiet for too long; send a probe over it and over another leg.
  kProbe,
  /// Its probes went unanswered while another leg was heard.
  kLost,
};

/// The legs to the upstream. Flows share them by hash; each place of the pool
/// holds one leg, which is replaced by another when it is lost.
class leg_pool {
 public:
  /// Quiet time after which a leg with open exchanges is probed.
  static constexpr absl::Duration kExchangeIdleTimeout =
      absl::Milliseconds(500);
  /// Quiet time after which a leg with observations only is probed.
  static constexpr absl::Duration kObservationIdleTimeout = absl::Seconds(2);
  /// Time between probes.
  static constexpr absl::Duration kProbeInterval = absl::Milliseconds(250);
  /// Probes that go unanswered before a leg is held for lost.
  static constexpr int kProbesBeforeLost = 4;

  /// `places` for traffic, at least 1, and one more for the reference leg.
  leg_pool(size_t places, uint64_t seed);

  size_t PlaceOf(uint64_t flow_hash) const { return flow_hash % Places(); }
  /// The leg at this place, 0 when none is open.
  leg_id At(size_t place) const { return legs_[place].id; }
  /// Where this leg is; none when it was closed.
  std::optional<size_t> PlaceOfLeg(leg_id leg) const;
  /// Gives the place a new leg.
  leg_id Open(size_t place, absl::Time now);
  void Close(size_t place);
  /// Places for traffic.
  size_t Places() const { return legs_.size() - 1; }
  /// The place after those for traffic. Its leg only carries probes and is
  /// opened anew while it is not answered: a leg is judged by one that nothing
  /// on the way can have lost track of yet.
  size_t Reference() const { return legs_.size() - 1; }

  uint16_t NextMessageId(size_t place) { return legs_[place].next_id++; }
  /// Something that awaits an answer was sent over the leg at this place.
  void OnSent(size_t place, absl::Time now);
  /// Something arrived over the leg at this place.
  void OnHeard(size_t place, absl::Time now);
  /// Judges the leg at this place, whose quiet time may be `quiet` at most.
  leg_health Check(size_t place, absl::Duration quiet, absl::Time now);
  /// When to look at it next.
  absl::Time NextCheck(size_t place, absl::Duration quiet,
                       absl::Time now) const;
  /// The leg at this place has not been heard since it was sent over.
  bool IsUnanswered(size_t place) const;
  /// The same, and the answer may yet come.
  bool IsAnswerPending(size_t place, absl::Time now) const;

 private:
  struct upstream_leg {
    leg_id id = 0;
    uint16_t next_id = 0;
    int probes = 0;
    absl::Time heard_at = absl::InfinitePast();
    /// When it was opened, or when the first message was sent since it was
    /// last heard.
    absl::Time waiting_since = absl::InfinitePast();
    absl::Time first_probe_at = absl::InfinitePast();
  };

  absl::Time QuietSince(size_t place) const;
  bool OthersHeardSince(size_t place, absl::Time since) const;

  std::vector<upstream_leg> legs_;
  absl::flat_hash_map<leg_id, size_t> places_;
  leg_id next_leg_ = 1;
  uint64_t seed_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_LEG_POOL_H_
