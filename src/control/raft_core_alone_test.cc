// Tests of a single raft_core whose messages and clock the test controls.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <utility>
#include <vector>

#include "control/raft_core.h"

namespace cardamomroute::control {
namespace {

/// Runs member 1 of a group of five voters. Tests send it the messages of the
/// other members; every write is synced at once.
class single_core_driver {
 public:
  explicit single_core_driver(recovered_state state)
      : core_(raft_options{1}, std::move(state), 1, now_) {}

  static recovered_state FiveVoters() {
    inner::membership_record founders;
    for (member_id id = 1; id <= 5; ++id) {
      inner::member_record* member = founders.add_members();
      member->set_id(id);
      member->set_role(inner::VOTER);
    }
    return FoundingState(founders);
  }

  inner::raft_message From(member_id from) const {
    inner::raft_message message;
    message.set_from(from);
    message.set_to(1);
    message.set_term(core_.Term());
    return message;
  }

  void Step(const inner::raft_message& message) {
    core_.Step(message, now_);
    Sync();
  }

  void Acknowledge(member_id from, uint64_t match) {
    inner::raft_message message = From(from);
    message.mutable_append_answer()->set_sent_at_us(absl::ToUnixMicros(now_));
    message.mutable_append_answer()->set_accepted(true);
    message.mutable_append_answer()->set_match_index(match);
    Step(message);
  }

  void Sync() {
    while (core_.HasReady()) {
      const raft_ready ready = core_.TakeReady();
      sent_.insert(sent_.end(), ready.messages_now.begin(),
                   ready.messages_now.end());
      core_.Persisted(ready.sequence, now_);
    }
  }

  /// Sends an acknowledgement up to `match` from the second run of member 2,
  /// which is unverified.
  void AcknowledgeFromSecondRun(uint64_t match) {
    inner::raft_message message = From(2);
    message.set_run(kSecondRun);
    message.set_unverified(true);
    message.mutable_append_answer()->set_accepted(true);
    message.mutable_append_answer()->set_match_index(match);
    Step(message);
  }

  /// True if the next heartbeat reports the second run of member 2 as verified.
  bool SendsVerification() {
    sent_.clear();
    now_ += kHeartbeatInterval;
    core_.Tick(now_);
    Sync();
    return std::any_of(sent_.begin(), sent_.end(), [](const auto& message) {
      return message.append().verified_run() == kSecondRun;
    });
  }

  void BecomeLeader() {
    now_ += 2 * kElectionTimeout;
    core_.Tick(now_);
    Sync();
    for (const member_id voter : {2, 3}) {
      inner::raft_message message = From(voter);
      message.set_term(core_.Term() + 1);
      message.mutable_pre_vote_answer()->set_granted(true);
      Step(message);
    }
    for (const member_id voter : {2, 3}) {
      inner::raft_message message = From(voter);
      message.mutable_vote_answer()->set_granted(true);
      Step(message);
    }
  }

  raft_core& Core() { return core_; }
  absl::Time Now() const { return now_; }

  static constexpr uint64_t kSecondRun = uint64_t{2} << 32;

 private:
  absl::Time now_ = absl::FromUnixSeconds(1000);
  raft_core core_;
  std::vector<inner::raft_message> sent_;
};

inner::raft_entry Entry(uint64_t index, uint64_t term) {
  inner::raft_entry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_command("command");
  return entry;
}

/// Guards against committing an entry of an earlier term by counting replicas:
/// a later leader may still replace it although a majority has it (figure 8 of
/// the Raft paper).
BOOST_AUTO_TEST_CASE(EarlierTermEntriesCommitWithACurrentTermEntry) {
  recovered_state state = single_core_driver::FiveVoters();
  state.entries.push_back(Entry(2, 1));
  single_core_driver driver(std::move(state));
  driver.BecomeLeader();
  BOOST_REQUIRE((driver.Core().Role() == raft_role::kLeader));
  driver.Acknowledge(2, 2);
  driver.Acknowledge(3, 2);
  BOOST_TEST(driver.Core().CommitIndex() == 1U);
  driver.Acknowledge(2, 3);
  driver.Acknowledge(3, 3);
  BOOST_TEST(driver.Core().CommitIndex() == 3U);
}

BOOST_AUTO_TEST_CASE(AcknowledgementsOfAnEarlierRunDoNotCount) {
  single_core_driver driver(single_core_driver::FiveVoters());
  driver.BecomeLeader();
  driver.Acknowledge(2, 2);
  driver.AcknowledgeFromSecondRun(1);
  driver.Acknowledge(3, 2);
  BOOST_TEST(driver.Core().CommitIndex() == 1U);
  driver.Acknowledge(4, 2);
  BOOST_TEST(driver.Core().CommitIndex() == 2U);
  BOOST_TEST(!driver.SendsVerification());
  driver.Acknowledge(3, 2);
  driver.Acknowledge(4, 2);
  driver.AcknowledgeFromSecondRun(1);
  BOOST_TEST(!driver.SendsVerification());
  driver.AcknowledgeFromSecondRun(2);
  BOOST_TEST(driver.SendsVerification());
}

/// Guards against a leader that the other voters no longer follow verifying a
/// restarted voter.
BOOST_AUTO_TEST_CASE(VerificationNeedsAQuorumOfTheOtherVoters) {
  single_core_driver driver(single_core_driver::FiveVoters());
  driver.BecomeLeader();
  driver.Acknowledge(3, 2);
  driver.Acknowledge(4, 2);
  driver.AcknowledgeFromSecondRun(2);
  BOOST_TEST(!driver.SendsVerification());
  driver.AcknowledgeFromSecondRun(2);
  BOOST_TEST(!driver.SendsVerification());
  driver.Acknowledge(3, 2);
  driver.Acknowledge(4, 2);
  driver.AcknowledgeFromSecondRun(2);
  BOOST_TEST(driver.SendsVerification());
}

BOOST_AUTO_TEST_CASE(MembershipChangesAreSerializedWithinATerm) {
  single_core_driver driver(single_core_driver::FiveVoters());
  driver.BecomeLeader();
  membership_change change;
  change.kind = membership_change_kind::kDemote;
  change.member.set_id(5);
  const auto propose = [&] {
    return driver.Core().ProposeMembership(change, driver.Now());
  };
  BOOST_TEST((propose().error().kind == error_kind::kBusy));
  driver.Acknowledge(2, 2);
  driver.Acknowledge(3, 2);
  BOOST_TEST(propose().has_value());
  change.member.set_id(4);
  BOOST_TEST((propose().error().kind == error_kind::kBusy));
  driver.Sync();
  driver.Acknowledge(2, 3);
  driver.Acknowledge(3, 3);
  BOOST_TEST(propose().has_value());
  BOOST_TEST(driver.Core().Membership().VoterCount() == 3U);
}

BOOST_AUTO_TEST_CASE(OwnVoteCountsOnlyOnceSynced) {
  inner::membership_record founder;
  founder.add_members()->set_id(1);
  founder.mutable_members(0)->set_role(inner::VOTER);
  const absl::Time start = absl::FromUnixSeconds(1000);
  raft_core core(raft_options{1}, FoundingState(founder), 1, start);
  const absl::Time now = start + 2 * kElectionTimeout;
  core.Tick(now);
  const raft_ready ready = core.TakeReady();
  BOOST_REQUIRE(ready.hard_state.has_value());
  BOOST_TEST(ready.hard_state->voted_for() == 1U);
  BOOST_TEST((core.Role() == raft_role::kCandidate));
  core.Persisted(ready.sequence, now);
  BOOST_TEST((core.Role() == raft_role::kLeader));
}

// Entries that the disk records as committed are returned before a leader is
// known. A recorded commit index beyond the log's end is limited to that end.
BOOST_AUTO_TEST_CASE(RecoveredCommittedEntriesAreReturnedAtStart) {
  inner::membership_record founder;
  for (const member_id id : {1, 2, 3}) {
    inner::member_record* member = founder.add_members();
    member->set_id(id);
    member->set_role(inner::VOTER);
  }
  recovered_state state = FoundingState(founder);
  state.entries = {Entry(2, 1), Entry(3, 1)};
  for (const uint64_t committed : {0U, 2U, 3U, 9U}) {
    state.committed = committed;
    raft_core core(raft_options{1}, state, 1, absl::FromUnixSeconds(1000));
    const size_t expected = std::clamp<uint64_t>(committed, 1, 3) - 1;
    BOOST_TEST(core.TakeReady().committed.size() == expected);
    BOOST_TEST(core.CommitIndex() == expected + 1);
  }
}

BOOST_AUTO_TEST_CASE(SnapshotInstallKeepsAcknowledgedEntries) {
  single_core_driver driver(single_core_driver::FiveVoters());
  inner::raft_message append = driver.From(2);
  append.mutable_append()->set_prev_index(1);
  append.mutable_append()->set_prev_term(1);
  *append.mutable_append()->add_entries() = Entry(2, 1);
  *append.mutable_append()->add_entries() = Entry(3, 1);
  driver.Step(append);
  inner::raft_message snapshot = driver.From(2);
  snapshot.mutable_snapshot_piece()->set_index(2);
  snapshot.mutable_snapshot_piece()->set_snapshot_term(1);
  snapshot.mutable_snapshot_piece()->set_digest(SnapshotDigest(""));
  driver.Step(snapshot);
  BOOST_TEST(driver.Core().CommitIndex() == 2U);
  BOOST_TEST(driver.Core().LastIndex() == 3U);
}

}  // namespace
}  // namespace cardamomroute::control
