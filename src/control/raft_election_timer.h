#ifndef CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_
#define CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_

#include <cstdint>
#include <random>

#include "absl/time/time.h"

namespace cardamomroute::control {

/// When to stand for election, and until when no vote may be granted.
class raft_election_timer {
 public:
  /// A member that starts may have made a promise that it has forgotten, so
  /// it promises anew.
  raft_election_timer(uint64_t seed, absl::Time now);

  /// A leader was heard: renews the promise and puts the election off.
  void OnLeaderContact(absl::Time now);
  /// Puts the election off, by a time drawn anew.
  void Restart(absl::Time now);

  /// When to stand for election.
  absl::Time Deadline() const { return deadline_; }
  /// True while votes may not be granted (Ongaro, sections 4.2.3 and 6.4.1).
  bool MustWithholdVote(absl::Time now) const { return now < promise_end_; }

 private:
  std::mt19937_64 random_;
  absl::Time deadline_;
  absl::Time promise_end_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_ELECTION_TIMER_H_
