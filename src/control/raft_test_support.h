#ifndef CARDAMOMROUTE_CONTROL_RAFT_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CONTROL_RAFT_TEST_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/raft_core.h"
#include "control/repair_core.h"

namespace cardamomroute::control {

/// Point in the handling of a raft_ready at which a VM crashes.
enum class crash_point : uint8_t {
  kBeforeWrite,
  kTornWrite,
  kAfterSync,
  kBetweenMessages,
  kBeforeApply,
};

/// Digest of `text`, chained to the digest `previous`.
uint64_t DigestOf(const std::string& text, uint64_t previous);

/// Disk of one VM; survives a crash of its process.
struct fake_disk {
  member_id id = 0;
  uint64_t start_count = 0;
  inner::raft_hard_state hard_state;
  shared_snapshot snapshot;
  std::vector<inner::raft_entry> entries;

  /// Stores `ready`, but only the first `entry_count` of its entries.
  void Write(const raft_ready& ready, size_t entry_count);
  recovered_state Recover() const;
};

/// State machine: the last applied index and a running digest of all applied
/// entries.
struct fake_state {
  uint64_t index = 0;
  uint64_t digest = 0;

  void Apply(const inner::raft_entry& entry);
  std::string ToSnapshot() const;
  static fake_state FromSnapshot(uint64_t index, const std::string& data);
};

/// A disk write in progress. Writes complete in order.
struct fake_write {
  raft_ready ready;
  int64_t completes_at_ms = 0;
};

/// One VM: a disk, a clock and, while it runs, a core.
struct fake_vm {
  std::string name;
  double clock_rate = 1.0;
  fake_disk disk;
  /// Earlier states of this disk, oldest first; not all are kept.
  std::vector<fake_disk> saved_disks;
  /// True while the VM runs on an old copy of its disk that the core has not
  /// verified.
  bool rolled_back = false;
  std::unique_ptr<raft_core> core;
  std::unique_ptr<repair_core> repair;
  fake_state state;
  std::deque<fake_write> pending_writes;
  int64_t paused_until_ms = 0;
  std::optional<crash_point> crash_at;

  /// Member record of this VM's disk.
  inner::member_record Member(inner::member_role role) const;
};

/// Simulates several VMs and a network that loses, duplicates, delays and
/// blocks messages. Checks the Raft invariants after each step and records
/// violations.
class fake_group {
 public:
  /// The first `voters` VMs found the group; the others request to join it.
  fake_group(size_t vms, size_t voters, uint64_t seed);

  /// Advances the simulation by `ms` milliseconds; stops at a violation.
  void Run(int64_t ms);
  /// Runs until a leader has committed in its term and holds the lease, for at
  /// most `ms` milliseconds. Returns that leader, or null if there is none.
  raft_core* RunUntilLeader(int64_t ms);

  void Propose(size_t vm, const std::string& command);
  void Crash(size_t vm);
  void CrashAt(size_t vm, crash_point point);
  void Restart(size_t vm);
  void Pause(size_t vm, int64_t ms);
  /// Replaces the VM's disk with an empty one, under a new member id, if the
  /// group can tolerate that. Returns false if nothing was done.
  bool LoseDisk(size_t vm);
  /// Restarts the VM from an earlier state of its disk, if the group can
  /// tolerate that. `permille` selects among the saved states: 0 is the oldest.
  /// Returns false if nothing was done.
  bool RollBack(size_t vm, size_t permille);
  /// How often a VM detected that it runs on an old copy of its disk.
  uint64_t OldCopiesFound() const { return old_copies_found_; }
  void BlockLink(size_t from, size_t to);
  void Isolate(size_t vm);
  void HealNetwork();
  /// Sets the probabilities of losing and of duplicating a message, and the
  /// maximum random delay.
  void SetMessageFaults(double loss_rate, double duplicate_rate,
                        int64_t max_delay_ms);
  void ChangeMembership(size_t vm, membership_change_kind kind);
  void Transfer(size_t vm);
  /// Every VM that considers itself leader proposes a command at each interval;
  /// 0 stops that.
  void SetProposeInterval(int64_t interval_ms) {
    propose_interval_ms_ = interval_ms;
  }
  void SetRepair(bool on) { repair_on_ = on; }
  void SetPayloadBytes(size_t bytes) { payload_bytes_ = bytes; }

  /// The VM that is leader in the highest term, if any.
  std::optional<size_t> LeaderVm() const;
  raft_core* CoreOf(size_t vm) { return vms_.at(vm).core.get(); }
  const fake_vm& Vm(size_t vm) const { return vms_.at(vm); }
  size_t Size() const { return vms_.size(); }
  absl::Time ClockOf(size_t vm) const;
  int64_t NowMs() const { return now_ms_; }
  /// Highest index that any leader has reported as committed.
  uint64_t ConfirmedIndex() const { return confirmed_index_; }
  /// True if every VM runs, is a member and has applied entries through
  /// `index`.
  bool AllApplied(uint64_t index) const;
  uint64_t BytesSentBy(size_t vm) const { return bytes_sent_.at(vm); }
  uint64_t SnapshotPieces() const { return snapshot_pieces_; }
  size_t MaxLogBytes() const { return max_log_bytes_; }

  /// Violated invariants, with their time; empty if there are none.
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct in_flight_message {
    int64_t arrives_at_ms = 0;
    size_t from = 0;
    inner::raft_message message;
  };

  void StepOnce();
  void Deliver();
  void StepVm(size_t vm);
  void StartWrite(size_t vm, raft_ready ready);
  void FinishWrite(size_t vm);
  bool CrashesAt(size_t vm, crash_point point);
  void Apply(size_t vm, const raft_ready& ready);
  void SendAll(size_t vm, const std::vector<inner::raft_message>& messages,
               size_t count);
  void Send(size_t from, const inner::raft_message& message);
  void StepRepair(size_t vm);
  void StepJoin(size_t vm);
  void StepHello(size_t vm);
  void StepDisk(size_t vm);
  void ReplaceDisk(size_t vm);
  void SaveDiskCopy(size_t vm);
  void StartCore(size_t vm);
  void Compact(size_t vm);
  bool CanLoseDisk(size_t vm) const;
  bool IsQuorumIntact(const raft_membership& membership, member_id lost) const;
  void AddViolation(const std::string& description);

  void CheckLeaders();
  void CheckDisk(size_t vm);
  void CheckCommit(const raft_core& core);
  void CheckApplied(const fake_state& state);

  std::mt19937_64 random_;
  std::vector<fake_vm> vms_;
  std::vector<in_flight_message> in_flight_;
  std::set<std::pair<size_t, size_t>> blocked_;
  std::map<member_id, size_t> vm_by_member_;
  std::map<member_id, int64_t> disk_lost_at_ms_;
  member_id next_id_ = 1;
  int64_t now_ms_ = 0;
  double loss_rate_ = 0;
  double duplicate_rate_ = 0;
  int64_t max_delay_ms_ = 2;
  int64_t propose_interval_ms_ = 0;
  bool repair_on_ = true;
  size_t payload_bytes_ = 8;
  uint64_t restarts_ = 0;

  uint64_t confirmed_index_ = 0;
  std::map<uint64_t, member_id> leader_by_term_;
  std::map<uint64_t, uint64_t> checked_commit_by_term_;
  std::map<uint64_t, uint64_t> digest_by_index_;
  /// Digest of an entry and the term of its predecessor, by term and index.
  std::map<std::pair<uint64_t, uint64_t>, uint64_t> entry_digests_;
  raft_membership committed_membership_;
  uint64_t committed_membership_index_ = 0;
  std::vector<uint64_t> bytes_sent_;
  uint64_t snapshot_pieces_ = 0;
  uint64_t old_copies_found_ = 0;
  size_t max_log_bytes_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_RAFT_TEST_SUPPORT_H_
