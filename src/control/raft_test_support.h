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

/// Where a VM that is to crash does so while it handles a raft_ready.
enum class crash_point : uint8_t {
  kBeforeWrite,
  kTornWrite,
  kAfterSync,
  kBetweenMessages,
  kBeforeApply,
};

/// Digest of `text` after what `before` stands for.
uint64_t DigestOf(const std::string& text, uint64_t before);

/// What one VM keeps when its process ends.
struct fake_disk {
  member_id id = 0;
  uint64_t starts = 0;
  inner::raft_hard_state hard_state;
  shared_snapshot snapshot;
  std::vector<inner::raft_entry> entries;

  void Write(const raft_ready& ready, size_t entry_count);
  recovered_state Recover() const;
};

/// Index and running digest of all that was applied.
struct fake_state {
  uint64_t index = 0;
  uint64_t digest = 0;

  void Apply(const inner::raft_entry& entry);
  std::string ToSnapshot() const;
  static fake_state FromSnapshot(uint64_t index, const std::string& data);
};

/// A write under way; the disk ends writes in order.
struct fake_write {
  raft_ready ready;
  int64_t ends_at_ms = 0;
};

/// One VM: a disk, a clock and, while it runs, a core.
struct fake_vm {
  std::string name;
  double clock_rate = 1.0;
  fake_disk disk;
  /// Some of the states that this disk was in, in order.
  std::vector<fake_disk> copies;
  /// On an old copy that nobody has verified yet.
  bool rolled_back = false;
  std::unique_ptr<raft_core> core;
  std::unique_ptr<repair_core> repair;
  fake_state state;
  std::deque<fake_write> writing;
  int64_t paused_until_ms = 0;
  std::optional<crash_point> crash_next;

  /// The member record of this VM's disk.
  inner::member_record Member(inner::member_role role) const;
};

/// A few VMs with a network between them that loses, repeats, delays and
/// blocks messages. Checks after each step what must always hold, and keeps
/// what it found.
class fake_group {
 public:
  /// The first `voters` VMs found the group; the others ask to join it.
  fake_group(size_t vms, size_t voters, uint64_t seed);

  /// Lets `ms` milliseconds pass.
  void Run(int64_t ms);
  /// Runs until there is a leader that has committed in its term, at most
  /// `ms`. Null where there is none.
  raft_core* RunUntilLeader(int64_t ms);

  void Propose(size_t vm, const std::string& command);
  void Crash(size_t vm);
  void CrashAt(size_t vm, crash_point point);
  void Restart(size_t vm);
  void Pause(size_t vm, int64_t ms);
  /// The VM loses its disk, if the group can stand that, and comes back as
  /// another member. False where it was left alone.
  bool LoseDisk(size_t vm);
  /// The VM gets the copy of its disk that was made when `permille` of the
  /// time since it was set up had passed, if the group can stand that, and
  /// starts from it. False where it was left alone.
  bool RollBack(size_t vm, size_t permille);
  /// How often a VM found out that it runs on an old copy.
  uint64_t OldCopiesFound() const { return old_copies_found_; }
  void BlockLink(size_t from, size_t to);
  void Isolate(size_t vm);
  void HealNetwork();
  void SetMessageFaults(double loss, double repeat, int64_t delay_ms);
  void ChangeMembership(size_t vm, membership_change_kind kind);
  void Transfer(size_t vm);
  /// Every VM that believes to lead proposes a command at each interval.
  void SetProposeInterval(int64_t interval_ms) { traffic_ms_ = interval_ms; }
  void SetRepair(bool on) { repair_on_ = on; }
  void SetPayloadBytes(size_t bytes) { payload_bytes_ = bytes; }

  /// Index of the VM that leads the highest term, if any.
  std::optional<size_t> LeaderVm() const;
  raft_core* CoreOf(size_t vm) { return vms_.at(vm).core.get(); }
  const fake_vm& Vm(size_t vm) const { return vms_.at(vm); }
  size_t Size() const { return vms_.size(); }
  absl::Time ClockOf(size_t vm) const;
  int64_t NowMs() const { return now_ms_; }
  /// Highest index that a leader handed out as committed.
  uint64_t ConfirmedIndex() const { return confirmed_; }
  /// True if each VM is a member and has applied the same, up to `index` at
  /// least.
  bool AllApplied(uint64_t index) const;
  uint64_t BytesSentBy(size_t vm) const { return bytes_sent_.at(vm); }
  uint64_t SnapshotPieces() const { return snapshot_pieces_; }
  size_t MaxLogBytes() const { return max_log_bytes_; }

  /// What was violated; empty where nothing was.
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct flight {
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
  void KeepCopy(size_t vm);
  void StartCore(size_t vm);
  void Compact(size_t vm);
  bool MayLose(size_t vm) const;
  bool IsQuorumIntact(const raft_membership& membership, member_id lost) const;
  void Violate(const std::string& what);

  void CheckLeaders();
  void CheckDisk(size_t vm);
  void CheckCommit(const raft_core& core);
  void CheckApplied(const fake_state& state);

  std::mt19937_64 random_;
  std::vector<fake_vm> vms_;
  std::vector<flight> flights_;
  std::set<std::pair<size_t, size_t>> blocked_;
  std::map<member_id, size_t> vm_of_;
  std::map<member_id, int64_t> lost_at_ms_;
  member_id next_id_ = 1;
  int64_t now_ms_ = 0;
  double loss_ = 0;
  double repeat_ = 0;
  int64_t delay_ms_ = 2;
  int64_t traffic_ms_ = 0;
  bool repair_on_ = true;
  size_t payload_bytes_ = 8;
  uint64_t restarts_ = 0;

  uint64_t confirmed_ = 0;
  std::map<uint64_t, member_id> leader_of_term_;
  std::map<uint64_t, uint64_t> checked_commits_;
  std::map<uint64_t, uint64_t> digest_at_;
  /// Digest of entry and term before it, by term and index.
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
