// Disk writes and applied entries of the simulated group.
#include <algorithm>
#include <cstdint>
#include <utility>

#include "absl/strings/str_cat.h"
#include "control/raft_test_support.h"

namespace cardamomroute::control {
namespace {

constexpr uint64_t kEntriesPerSnapshot = 12;

}  // namespace

void fake_group::StartWrite(size_t vm, raft_ready ready) {
  SendAll(vm, ready.messages_now, ready.messages_now.size());
  const int64_t write_ms =
      ready.MustSync() ? static_cast<int64_t>(random_() % 16) : 0;
  std::deque<fake_write>& pending_writes = vms_[vm].pending_writes;
  const int64_t begins_at_ms =
      pending_writes.empty() ? now_ms_ : pending_writes.back().completes_at_ms;
  pending_writes.push_back({std::move(ready), begins_at_ms + write_ms});
}

bool fake_group::CrashesAt(size_t vm, crash_point point) {
  if (vms_[vm].crash_at != point) {
    return false;
  }
  Crash(vm);
  return true;
}

void fake_group::FinishWrite(size_t vm) {
  fake_vm& written = vms_[vm];
  const raft_ready ready = std::move(written.pending_writes.front().ready);
  written.pending_writes.pop_front();
  if (ready.MustSync()) {
    if (CrashesAt(vm, crash_point::kBeforeWrite)) {
      return;
    }
    if (written.crash_at == crash_point::kTornWrite) {
      written.disk.Write(ready, random_() % (ready.entries.size() + 1));
      Crash(vm);
      return;
    }
    written.disk.Write(ready, ready.entries.size());
    SaveDiskCopy(vm);
    CheckDisk(vm);
    if (CrashesAt(vm, crash_point::kAfterSync)) {
      return;
    }
  }
  written.core->Persisted(ready.sequence, ClockOf(vm));
  if (written.core->Role() == raft_role::kLeader && !ready.committed.empty()) {
    confirmed_index_ =
        std::max(confirmed_index_, ready.committed.back().index());
  }
  const size_t count = ready.messages_after_sync.size();
  if (count > 1 && written.crash_at == crash_point::kBetweenMessages) {
    SendAll(vm, ready.messages_after_sync, count / 2);
    Crash(vm);
    return;
  }
  SendAll(vm, ready.messages_after_sync, count);
  if (!ready.committed.empty() && CrashesAt(vm, crash_point::kBeforeApply)) {
    return;
  }
  Apply(vm, ready);
}

void fake_group::Apply(size_t vm, const raft_ready& ready) {
  fake_vm& applied = vms_[vm];
  if (ready.snapshot != nullptr) {
    applied.state = fake_state::FromSnapshot(ready.snapshot->index(),
                                             ready.snapshot->data());
    CheckApplied(applied.state);
  }
  for (const inner::raft_entry& entry : ready.committed) {
    if (entry.index() != applied.state.index + 1) {
      AddViolation(absl::StrCat(applied.name, " applies index ", entry.index(),
                                " after index ", applied.state.index));
    }
    applied.state.Apply(entry);
    CheckApplied(applied.state);
    if (entry.has_membership() && entry.index() > committed_membership_index_) {
      committed_membership_ = raft_membership(entry.membership());
      committed_membership_index_ = entry.index();
    }
  }
  if (applied.state.index >=
      applied.core->SnapshotIndex() + kEntriesPerSnapshot) {
    Compact(vm);
  }
}

void fake_group::Compact(size_t vm) {
  fake_vm& compacted = vms_[vm];
  const uint64_t index = compacted.state.index;
  const auto snapshot =
      compacted.core->Compact(index, compacted.state.ToSnapshot());
  if (!snapshot) {
    AddViolation("compacting the log up to an applied index failed");
    return;
  }
  auto& entries = compacted.disk.entries;
  entries.erase(entries.begin(),
                std::find_if(entries.begin(), entries.end(),
                             [index](const inner::raft_entry& entry) {
                               return entry.index() > index;
                             }));
  compacted.disk.snapshot = snapshot.value();
}

}  // namespace cardamomroute::control
