// Faults of the fake group, and what operators ask of it.
#include "control/raft_test_support.h"

namespace cardamomroute::control {

void fake_group::Crash(size_t vm) {
  vms_[vm].core.reset();
  vms_[vm].writing.clear();
  vms_[vm].crash_next.reset();
}

void fake_group::CrashAt(size_t vm, crash_point point) {
  vms_[vm].crash_next = point;
}

void fake_group::Restart(size_t vm) {
  vms_[vm].crash_next.reset();
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

void fake_group::SetMessageFaults(double loss, double repeat,
                                  int64_t delay_ms) {
  loss_ = loss;
  repeat_ = repeat;
  delay_ms_ = delay_ms;
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
