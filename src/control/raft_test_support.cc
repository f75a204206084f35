#include "control/raft_test_support.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

#include "absl/strings/str_cat.h"

namespace cardamomroute::control {
namespace {

constexpr int64_t kStepMs = 5;
constexpr size_t kTargetVoters = 3;
constexpr size_t kMaxPendingWrites = 2;
constexpr size_t kSnapshotDataBytes = 400;

raft_options OptionsOf(const fake_disk& disk, uint64_t nonce) {
  raft_options options;
  options.self = disk.id;
  options.run = RunOf(disk.start_count, nonce);
  options.max_append_bytes = 300;
  options.max_snapshot_piece_bytes = 64;
  options.retained_log_bytes = 200;
  return options;
}

}  // namespace

uint64_t DigestOf(const std::string& text, uint64_t previous) {
  return XXH3_64bits_withSeed(text.data(), text.size(), previous);
}

inner::member_record fake_vm::Member(inner::member_role role) const {
  inner::member_record member;
  member.set_id(disk.id);
  member.set_name(name);
  member.set_address(absl::StrCat(name, ":1"));
  member.set_role(role);
  return member;
}

void fake_state::Apply(const inner::raft_entry& entry) {
  digest = DigestOf(entry.SerializeAsString(), digest);
  index = entry.index();
}

std::string fake_state::ToSnapshot() const {
  std::string data(kSnapshotDataBytes, 's');
  std::memcpy(data.data(), &digest, sizeof(digest));
  return data;
}

fake_state fake_state::FromSnapshot(uint64_t index, const std::string& data) {
  fake_state state;
  state.index = index;
  if (data.size() >= sizeof(state.digest)) {
    std::memcpy(&state.digest, data.data(), sizeof(state.digest));
  }
  return state;
}

fake_group::fake_group(size_t vms, size_t voters, uint64_t seed)
    : random_(seed), vms_(vms), bytes_sent_(vms) {
  std::uniform_real_distribution<double> rate(0.95, 1.05);
  inner::membership_record founders;
  for (size_t vm = 0; vm < vms; ++vm) {
    vms_[vm].name = absl::StrCat("vm", vm);
    vms_[vm].clock_rate = rate(random_);
    vms_[vm].disk.id = next_id_++;
    vm_by_member_[vms_[vm].disk.id] = vm;
    if (vm < voters) {
      *founders.add_members() = vms_[vm].Member(inner::VOTER);
    }
  }
  const recovered_state founding = FoundingState(founders);
  committed_membership_ = raft_membership(founders);
  committed_membership_index_ = founding.snapshot->index();
  for (size_t vm = 0; vm < vms; ++vm) {
    if (vm < voters) {
      vms_[vm].disk.hard_state = founding.hard_state;
      vms_[vm].disk.snapshot = founding.snapshot;
    }
    StartCore(vm);
  }
}

absl::Time fake_group::ClockOf(size_t vm) const {
  const double ms = static_cast<double>(now_ms_) * vms_[vm].clock_rate;
  return absl::FromUnixSeconds(1000) + absl::Milliseconds(ms);
}

void fake_group::StartCore(size_t vm) {
  fake_vm& started = vms_[vm];
  ++started.disk.start_count;
  SaveDiskCopy(vm);
  started.core = std::make_unique<raft_core>(
      OptionsOf(started.disk, random_()), started.disk.Recover(),
      random_() + restarts_++, ClockOf(vm));
  started.repair = std::make_unique<repair_core>(kTargetVoters);
  started.state = fake_state();
  if (started.disk.snapshot != nullptr) {
    started.state = fake_state::FromSnapshot(started.disk.snapshot->index(),
                                             started.disk.snapshot->data());
  }
}

void fake_group::Run(int64_t ms) {
  const int64_t end_ms = now_ms_ + ms;
  while (now_ms_ < end_ms && violations_.empty()) {
    StepOnce();
  }
}

raft_core* fake_group::RunUntilLeader(int64_t ms) {
  const int64_t end_ms = now_ms_ + ms;
  while (now_ms_ < end_ms && violations_.empty()) {
    StepOnce();
    const std::optional<size_t> leader = LeaderVm();
    if (leader && vms_[*leader].core->HoldsLease(ClockOf(*leader))) {
      return vms_[*leader].core.get();
    }
  }
  return nullptr;
}

void fake_group::StepOnce() {
  now_ms_ += kStepMs;
  Deliver();
  if (propose_interval_ms_ > 0 && now_ms_ % propose_interval_ms_ == 0) {
    for (size_t vm = 0; vm < vms_.size(); ++vm) {
      Propose(vm, absl::StrCat("at ", now_ms_));
    }
  }
  for (size_t vm = 0; vm < vms_.size(); ++vm) {
    StepVm(vm);
    CheckLeaders();
  }
}

void fake_group::Deliver() {
  std::vector<in_flight_message> waiting;
  std::vector<in_flight_message> arrived;
  for (in_flight_message& each : in_flight_) {
    const size_t to = vm_by_member_.at(each.message.to());
    const bool due =
        each.arrives_at_ms <= now_ms_ && vms_[to].paused_until_ms <= now_ms_;
    (due ? arrived : waiting).push_back(std::move(each));
  }
  in_flight_ = std::move(waiting);
  for (const in_flight_message& each : arrived) {
    const size_t to = vm_by_member_.at(each.message.to());
    if (vms_[to].core != nullptr && blocked_.count({each.from, to}) == 0) {
      vms_[to].core->Step(each.message, ClockOf(to));
      CheckLeaders();
    }
  }
}

void fake_group::StepVm(size_t vm) {
  fake_vm& stepped = vms_[vm];
  if (stepped.core == nullptr || stepped.paused_until_ms > now_ms_) {
    return;
  }
  if (ClockOf(vm) >= stepped.core->NextDeadline()) {
    stepped.core->Tick(ClockOf(vm));
  }
  StepDisk(vm);
  StepRepair(vm);
  StepJoin(vm);
  StepHello(vm);
  while (stepped.core != nullptr) {
    if (stepped.pending_writes.size() < kMaxPendingWrites &&
        stepped.core->HasReady()) {
      StartWrite(vm, stepped.core->TakeReady());
    } else if (!stepped.pending_writes.empty() &&
               stepped.pending_writes.front().completes_at_ms <= now_ms_) {
      FinishWrite(vm);
    } else {
      break;
    }
  }
  if (stepped.core != nullptr) {
    max_log_bytes_ = std::max(max_log_bytes_, stepped.core->LogBytes());
  }
}

void fake_group::SendAll(size_t vm,
                         const std::vector<inner::raft_message>& messages,
                         size_t count) {
  for (size_t i = 0; i < count; ++i) {
    Send(vm, messages[i]);
  }
}

void fake_group::Send(size_t from, const inner::raft_message& message) {
  bytes_sent_[from] += message.ByteSizeLong();
  snapshot_pieces_ += message.has_snapshot_piece() ? 1 : 0;
  std::uniform_real_distribution<double> chance(0, 1);
  const int copies = chance(random_) < duplicate_rate_ ? 2 : 1;
  for (int copy = 0; copy < copies; ++copy) {
    if (chance(random_) < loss_rate_) {
      continue;
    }
    const auto delay = static_cast<int64_t>(
        random_() % static_cast<uint64_t>(max_delay_ms_ + 1));
    in_flight_.push_back({now_ms_ + 1 + delay, from, message});
  }
}

void fake_group::StepRepair(size_t vm) {
  raft_core& core = *vms_[vm].core;
  if (!repair_on_ || core.Role() != raft_role::kLeader ||
      core.IsMembershipChanging()) {
    return;
  }
  const auto change = vms_[vm].repair->NextChange(
      core.Self(), core.MemberStatuses(), ClockOf(vm));
  if (change) {
    core.ProposeMembership(*change, ClockOf(vm)).has_value();
  }
}

void fake_group::StepJoin(size_t vm) {
  const std::optional<size_t> leader = LeaderVm();
  if (!leader || *leader == vm || now_ms_ % 100 != 0 ||
      blocked_.count({vm, *leader}) != 0) {
    return;
  }
  raft_core& core = *vms_[*leader].core;
  if (core.Membership().Find(vms_[vm].disk.id) == nullptr) {
    vms_[*leader]
        .repair
        ->RequestJoin(vms_[vm].Member(inner::STANDBY), core.MemberStatuses(),
                      ClockOf(*leader))
        .has_value();
  }
}

void fake_group::Propose(size_t vm, const std::string& command) {
  if (vms_[vm].core != nullptr) {
    const std::string padded = command + std::string(payload_bytes_, 'p');
    vms_[vm].core->Propose(padded, ClockOf(vm)).has_value();
  }
}

std::optional<size_t> fake_group::LeaderVm() const {
  std::optional<size_t> found;
  for (size_t vm = 0; vm < vms_.size(); ++vm) {
    const raft_core* core = vms_[vm].core.get();
    if (core != nullptr && core->Role() == raft_role::kLeader &&
        (!found || core->Term() > vms_[*found].core->Term())) {
      found = vm;
    }
  }
  return found;
}

bool fake_group::AllApplied(uint64_t index) const {
  const std::optional<size_t> leader = LeaderVm();
  return leader &&
         std::all_of(vms_.begin(), vms_.end(), [&](const fake_vm& vm) {
           return vms_[*leader].core->Membership().Find(vm.disk.id) !=
                      nullptr &&
                  vm.core != nullptr && vm.state.index >= index;
         });
}

}  // namespace cardamomroute::control
