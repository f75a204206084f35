#ifndef CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_
#define CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace cardamomroute::control {

/// Tracks when a member starts an election and until when it must not grant
/// votes.
class raft_election_timer {
 public:
  /// Withholds votes for one kElectionTimeout after `now`: the previous process
  /// may have heard from a leader just before it ended, and that is not stored.
  raft_election_timer(uint64_t seed, absl::Time now);

  /// Call on every message from the current leader. Withholds votes for
  /// another kElectionTimeout and restarts the election timeout.
  void OnLeaderContact(absl::Time now);
  /// Restarts the election timeout with a new random duration between
  /// kElectionTimeout and twice that.
  void Restart(absl::Time now);

  /// When the election timeout expires.
  absl::Time Deadline() const { return deadline_; }
  /// True while this member must not grant votes, because a leader may still
  /// rely on its lease (Ongaro, sections 4.2.3 and 6.4.1).
  bool MustWithholdVote(absl::Time now) const {
    return now < withhold_votes_until_;
  }

 private:
  std::mt19937_64 random_;
  absl::Time deadline_;
  absl::Time withhold_votes_until_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_
