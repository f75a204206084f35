#ifndef CARDAMOMROUTE_ROUTING_LOAD_BOOK_H_
#define CARDAMOMROUTE_ROUTING_LOAD_BOOK_H_

#include <cstdint>

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"
#include "routing/load_sample.h"
#include "routing/packet_header.h"
#include "view/view.h"

namespace cardamomroute {

/// The loads that one target knows: its own, and those that its peers sent.
class load_book {
 public:
  /// Own upstream: requests that run and wait, and its slots.
  void OnOwnLoad(uint32_t busy_slots, uint32_t slots, uint32_t queued,
                 absl::Time now);

  /// So many of the flows held only observe; placement leaves them out.
  void OnObservingFlows(uint32_t flows) { observing_flows_ = flows; }

  /// The upstream reported that `free_share` (0 to 1) of its slots may be
  /// used. Lowers the usable slots, never raises them above its slots.
  void OnOwnReport(double free_share);

  /// Begins the cold start ramp.
  void OnStart(absl::Time now) { started_at_ = now; }

  /// A kLoad message of a peer.
  void OnPeerLoad(const packet_header& header, absl::Time now);

  /// A flow was granted to a peer: counted until its next sample.
  void OnGrant(target_id peer);

  /// A peer refused a grant; it is not offered another for a moment.
  void OnRefusal(target_id peer, absl::Time now);
  bool IsRefusing(target_id peer, absl::Time now) const;

  void DropPeer(target_id peer) { peers_.erase(peer); }

  load_sample Own(uint32_t held_flows, absl::Time now) const;
  /// A sample that was never measured for an unknown peer.
  load_sample Peer(target_id peer) const;

  /// The own sample in a kLoad message.
  void FillHeader(uint32_t held_flows, absl::Time now,
                  packet_header* header) const;

 private:
  struct peer_load {
    load_sample sample;
    absl::Time refuses_until = absl::InfinitePast();
  };

  uint32_t slots_ = 1;
  uint32_t observing_flows_ = 0;
  load_sample own_;
  absl::Time started_at_ = absl::InfinitePast();
  absl::flat_hash_map<target_id, peer_load> peers_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_ROUTING_LOAD_BOOK_H_
