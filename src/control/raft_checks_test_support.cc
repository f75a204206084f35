// Invariants checked after each step of the simulated group.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "control/raft_test_support.h"

namespace cardamomroute::control {

void fake_group::AddViolation(const std::string& description) {
  violations_.push_back(absl::StrCat("at ", now_ms_, " ms: ", description));
}

/// At most one leader per term; at most one lease holder at any time; the lease
/// holder has every index that was ever confirmed.
void fake_group::CheckLeaders() {
  const fake_vm* holder = nullptr;
  for (size_t vm = 0; vm < vms_.size(); ++vm) {
    const raft_core* core = vms_[vm].core.get();
    if (core == nullptr || core->Role() != raft_role::kLeader) {
      continue;
    }
    const auto inserted = leader_by_term_.emplace(core->Term(), core->Self());
    if (inserted.first->second != core->Self()) {
      AddViolation(absl::StrCat("two leaders in term ", core->Term()));
    }
    CheckCommit(*core);
    if (!core->HoldsLease(ClockOf(vm))) {
      continue;
    }
    if (holder != nullptr) {
      AddViolation(absl::StrCat(holder->name, " and ", vms_[vm].name,
                                " hold the lease at the same time"));
    }
    holder = &vms_[vm];
    if (core->CommitIndex() < confirmed_index_) {
      AddViolation(absl::StrCat(holder->name,
                                " holds the lease with commit index ",
                                core->CommitIndex(), " but index ",
                                confirmed_index_, " is confirmed"));
    }
  }
}

/// Log matching: entries with the same index and term are equal, and so are all
/// entries before them.
void fake_group::CheckDisk(size_t vm) {
  const fake_disk& disk = vms_[vm].disk;
  uint64_t term_before = disk.snapshot ? disk.snapshot->term() : 0;
  for (const inner::raft_entry& entry : disk.entries) {
    const uint64_t digest = DigestOf(entry.SerializeAsString(), term_before);
    const auto inserted =
        entry_digests_.emplace(std::pair(entry.term(), entry.index()), digest);
    if (inserted.first->second != digest) {
      AddViolation(absl::StrCat("logs differ at index ", entry.index(),
                                " of term ", entry.term()));
    }
    term_before = entry.term();
  }
}

/// An entry that a leader considers committed is on the disks of a quorum.
void fake_group::CheckCommit(const raft_core& core) {
  const uint64_t index = core.CommitIndex();
  const auto inserted = checked_commit_by_term_.emplace(core.Term(), index);
  if (inserted.second || inserted.first->second == index) {
    return;
  }
  inserted.first->second = index;
  absl::flat_hash_set<member_id> holders;
  for (const fake_vm& vm : vms_) {
    const auto& entries = vm.disk.entries;
    const bool in_log =
        std::any_of(entries.begin(), entries.end(), [&](const auto& entry) {
          return entry.index() == index && entry.term() == core.Term();
        });
    const bool in_snapshot =
        vm.disk.snapshot != nullptr && vm.disk.snapshot->index() >= index;
    if (in_log || in_snapshot) {
      holders.insert(vm.disk.id);
    }
  }
  for (const auto& [id, at_ms] : disk_lost_at_ms_) {
    holders.insert(id);  // may have acknowledged before the loss
  }
  for (const fake_vm& vm : vms_) {
    if (vm.rolled_back) {
      holders.insert(vm.disk.id);  // may have acknowledged before the rollback
    }
  }
  if (!core.Membership().IsQuorum(holders)) {
    AddViolation(absl::StrCat("index ", index,
                              " is committed but not on a quorum's disks"));
  }
}

/// The state after an index is the same on all VMs and never changes.
void fake_group::CheckApplied(const fake_state& state) {
  const auto inserted = digest_by_index_.emplace(state.index, state.digest);
  if (inserted.first->second != state.digest) {
    AddViolation(absl::StrCat("states differ after index ", state.index));
  }
}

}  // namespace cardamomroute::control
