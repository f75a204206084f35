// What must hold in the fake group at every step.
#include <algorithm>

#include "absl/strings/str_cat.h"
#include "control/raft_test_support.h"

namespace cardamomroute::control {

void fake_group::Violate(const std::string& what) {
  violations_.push_back(absl::StrCat("at ", now_ms_, " ms: ", what));
}

/// One leader a term; no two leases at one instant; a lease holder knows of
/// all that was ever confirmed.
void fake_group::CheckLeaders() {
  const fake_vm* holder = nullptr;
  for (size_t vm = 0; vm < vms_.size(); ++vm) {
    const raft_core* core = vms_[vm].core.get();
    if (core == nullptr || core->Role() != raft_role::kLeader) {
      continue;
    }
    const auto known = leader_of_term_.emplace(core->Term(), core->Self());
    if (known.first->second != core->Self()) {
      Violate(absl::StrCat("two leaders in term ", core->Term()));
    }
    CheckCommit(*core);
    if (!core->HoldsLease(ClockOf(vm))) {
      continue;
    }
    if (holder != nullptr) {
      Violate(absl::StrCat(holder->name, " and ", vms_[vm].name,
                           " hold the lease"));
    }
    holder = &vms_[vm];
    if (core->CommitIndex() < confirmed_) {
      Violate(absl::StrCat(holder->name, " answers from ", core->CommitIndex(),
                           " where ", confirmed_, " is confirmed"));
    }
  }
}

/// Log matching: entries of one index and term are equal, and so are all
/// before them.
void fake_group::CheckDisk(size_t vm) {
  const fake_disk& disk = vms_[vm].disk;
  uint64_t term_before = disk.snapshot ? disk.snapshot->term() : 0;
  for (const inner::raft_entry& entry : disk.entries) {
    const uint64_t digest = DigestOf(entry.SerializeAsString(), term_before);
    const auto known =
        entry_digests_.emplace(std::pair(entry.term(), entry.index()), digest);
    if (known.first->second != digest) {
      Violate(absl::StrCat("logs differ at index ", entry.index(), " of term ",
                           entry.term()));
    }
    term_before = entry.term();
  }
}

/// What a leader counts as committed is on the disks of a quorum.
void fake_group::CheckCommit(const raft_core& core) {
  const uint64_t index = core.CommitIndex();
  const auto known = checked_commits_.emplace(core.Term(), index);
  if (known.second || known.first->second == index) {
    return;
  }
  known.first->second = index;
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
  for (const auto& [id, at_ms] : lost_at_ms_) {
    holders.insert(id);  // may have answered before it was lost
  }
  for (const fake_vm& vm : vms_) {
    if (vm.rolled_back) {
      holders.insert(vm.disk.id);  // the same
    }
  }
  if (!core.Membership().IsQuorum(holders)) {
    Violate(absl::StrCat("index ", index,
                         " is committed but not on a quorum's disks"));
  }
}

/// Whatever is applied at an index is the same everywhere and for good.
void fake_group::CheckApplied(const fake_state& state) {
  const auto known = digest_at_.emplace(state.index, state.digest);
  if (known.first->second != state.digest) {
    Violate(absl::StrCat("states differ after index ", state.index));
  }
}

}  // namespace cardamomroute::control
