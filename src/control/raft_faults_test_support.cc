// Fault injection and operator actions of the simulated group.
#include "control/raft_test_support.h"

namespace cardamomroute::control {

void fake_group::Crash(size_t vm) {
  vms_[vm].core.reset();
  vms_[vm].pending_writes.clear();
  vms_[vm].crash_at.reset();
}

void fake_group::CrashAt(size_t vm, crash_point point) {
  vms_[vm].crash_at = point;
}

void fake_group::Restart(size_t vm) {
  vms_[vm].crash_at.reset();
  if (vms_[vm].core == nullptr) {
    StartCore(vm);
  }
}

void fake_group::Pause(size_t vm, int64_t ms) {
  vms_[vm].paused_until_ms = now_ms_ + ms;
}

void fake_group::BlockLink(size_t from, size_t to) {
  blocked_.insert({from, to});
}

void fake_group::Isolate(size_t vm) {
  for (size_t other = 0; other < vms_.size(); ++other) {
    BlockLink(vm, other);
    BlockLink(other, vm);
  }
}

void fake_group::HealNetwork() { blocked_.clear(); }

void fake_group::SetMessageFaults(double loss_rate, double duplicate_rate,
                                  int64_t max_delay_ms) {
  loss_rate_ = loss_rate;
  duplicate_rate_ = duplicate_rate;
  max_delay_ms_ = max_delay_ms;
}

void fake_group::ChangeMembership(size_t vm, membership_change_kind kind) {
  const std::optional<size_t> leader = LeaderVm();
  if (!leader) {
    return;
  }
  membership_change change;
  change.kind = kind;
  change.member = vms_[vm].Member(inner::STANDBY);
  raft_core& core = *vms_[*leader].core;
  const auto after = core.Membership().After(change);
  if (after && IsQuorumIntact(after.value(), 0)) {
    core.ProposeMembership(change, ClockOf(*leader)).has_value();
  }
}

void fake_group::Transfer(size_t vm) {
  const std::optional<size_t> leader = LeaderVm();
  if (leader) {
    vms_[*leader]
        .core->TransferLeadership(vms_[vm].disk.id, ClockOf(*leader))
        .has_value();
  }
}

}  // namespace cardamomroute::control
