#include "control/raft_election_timer.h"

#include "control/raft_options.h"

namespace cardamomroute::control {

raft_election_timer::raft_election_timer(uint64_t seed, absl::Time now)
    : random_(seed) {
  OnLeaderContact(now);
}

void raft_election_timer::OnLeaderContact(absl::Time now) {
  withhold_votes_until_ = now + kElectionTimeout;
  Restart(now);
}

void raft_election_timer::Restart(absl::Time now) {
  const int64_t spread_us = absl::ToInt64Microseconds(kElectionTimeout);
  std::uniform_int_distribution<int64_t> extra_us(0, spread_us);
  deadline_ = now + kElectionTimeout + absl::Microseconds(extra_us(random_));
}

}  // namespace cardamomroute::control
