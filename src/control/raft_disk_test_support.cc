// Disks of the simulated group: contents, loss and restoring of old copies.
#include <algorithm>

#include "control/raft_test_support.h"

namespace cardamomroute::control {
namespace {

/// Minimum time between two disk losses.
constexpr int64_t kMinDiskLossIntervalMs = 1000;
constexpr size_t kMaxSavedDisks = 64;

}  // namespace

void fake_disk::Write(const raft_ready& ready, size_t entry_count) {
  if (ready.hard_state.has_value()) {
    hard_state = *ready.hard_state;
  }
  if (ready.snapshot != nullptr) {
    snapshot = ready.snapshot;
    entries.clear();
  }
  if (ready.entries.empty()) {
    return;
  }
  const uint64_t first = ready.entries.front().index();
  while (!entries.empty() && entries.back().index() >= first) {
    entries.pop_back();
  }
  entries.insert(entries.end(), ready.entries.begin(),
                 ready.entries.begin() + static_cast<int64_t>(entry_count));
}

recovered_state fake_disk::Recover() const {
  recovered_state state;
  state.hard_state = hard_state;
  state.snapshot = snapshot;
  state.entries = entries;
  return state;
}

bool fake_group::LoseDisk(size_t vm) {
  if (!CanLoseDisk(vm)) {
    return false;
  }
  ReplaceDisk(vm);
  return true;
}

void fake_group::ReplaceDisk(size_t vm) {
  Crash(vm);
  disk_lost_at_ms_[vms_[vm].disk.id] = now_ms_;
  vms_[vm].disk = fake_disk();
  vms_[vm].saved_disks.clear();
  vms_[vm].rolled_back = false;
  vms_[vm].disk.id = next_id_++;
  vm_by_member_[vms_[vm].disk.id] = vm;
  StartCore(vm);
}

bool fake_group::RollBack(size_t vm, size_t permille) {
  if (!CanLoseDisk(vm)) {
    return false;
  }
  Crash(vm);
  std::vector<fake_disk>& saved_disks = vms_[vm].saved_disks;
  const size_t chosen = (saved_disks.size() - 1) * permille / 1000;
  saved_disks.resize(chosen + 1);
  vms_[vm].disk = saved_disks.back();
  vms_[vm].rolled_back = true;
  StartCore(vm);
  return true;
}

void fake_group::SaveDiskCopy(size_t vm) {
  std::vector<fake_disk>& saved_disks = vms_[vm].saved_disks;
  saved_disks.push_back(vms_[vm].disk);
  if (saved_disks.size() > kMaxSavedDisks) {
    saved_disks.erase(saved_disks.begin() +
                      static_cast<int64_t>(random_() % (kMaxSavedDisks / 2)));
  }
}

/// Replaces the disk if the core has detected that it is an old copy, as the
/// real process does.
void fake_group::StepDisk(size_t vm) {
  if (vms_[vm].core->RunsOnOldCopy()) {
    ++old_copies_found_;
    ReplaceDisk(vm);
  } else if (vms_[vm].core->IsVerified()) {
    vms_[vm].rolled_back = false;
  }
}

/// A VM that is not a member announces itself to all others.
void fake_group::StepHello(size_t vm) {
  if (now_ms_ % 100 != 0 ||
      vms_[vm].core->Membership().Find(vms_[vm].disk.id) != nullptr) {
    return;
  }
  for (size_t to = 0; to < vms_.size(); ++to) {
    if (to != vm && vms_[to].core != nullptr && blocked_.count({vm, to}) == 0) {
      vms_[to].core->RecordLostDisks(vms_[vm].Member(inner::STANDBY));
    }
  }
}

/// True if the group can tolerate the loss of the VM's disk: the other disks
/// must form a quorum under every membership that may take effect, including
/// one in which this VM, or a VM on an old copy, has just been promoted.
bool fake_group::CanLoseDisk(size_t vm) const {
  for (const auto& [id, at_ms] : disk_lost_at_ms_) {
    if (now_ms_ < at_ms + kMinDiskLossIntervalMs) {
      return false;
    }
  }
  const member_id lost = vms_[vm].disk.id;
  if (!IsQuorumIntact(committed_membership_, lost)) {
    return false;
  }
  for (const fake_vm& other : vms_) {
    if (other.core != nullptr &&
        !IsQuorumIntact(other.core->Membership(), lost)) {
      return false;
    }
    for (const inner::raft_entry& entry : other.disk.entries) {
      if (entry.has_membership() &&
          entry.index() > committed_membership_index_ &&
          !IsQuorumIntact(raft_membership(entry.membership()), lost)) {
        return false;
      }
    }
  }
  return true;
}

bool fake_group::IsQuorumIntact(const raft_membership& membership,
                                member_id lost) const {
  absl::flat_hash_set<member_id> intact;
  std::vector<member_id> damaged = {lost};
  for (const fake_vm& vm : vms_) {
    if (vm.disk.id != lost && !vm.rolled_back) {
      intact.insert(vm.disk.id);
    } else {
      damaged.push_back(vm.disk.id);
    }
  }
  for (const member_id id : damaged) {
    membership_change promotion;
    promotion.kind = membership_change_kind::kPromote;
    promotion.member.set_id(id);
    const auto promoted = membership.After(promotion);
    if (promoted && !promoted.value().IsQuorum(intact)) {
      return false;
    }
  }
  return membership.VoterCount() == 0 || membership.IsQuorum(intact);
}

}  // namespace cardamomroute::control
