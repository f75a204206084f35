#include "cardamomroute/control_group_test_support.h"

#include <stdexcept>

#include "base/concat.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr uint16_t kFirstPort = 7000;

endpoint AddressOf(int vm) {
  endpoint address = ParseEndpoint("192.0.2.1:1").value();
  address.port = static_cast<uint16_t>(kFirstPort + vm);
  return address;
}

}  // namespace

class control_group::outlet : public control_outlet {
 public:
  outlet(control_group* group, int vm) : group_(group), vm_(vm) {}

  void SendToPeer(const std::string& address,
                  const inner::control_request& request) override {
    group_->Post(vm_, address, request);
  }
  void Answer(const std::string& client,
              const inner::control_answer& answer) override {
    group_->answers_.push_back({client, answer});
  }

 private:
  control_group* group_;
  int vm_;
};

class control_group::checker : public submission_checker {
 public:
  checker(control_group* group, int vm) : group_(group), vm_(vm) {}

  result<void> Begin(const std::string& client,
                     const inner::operator_request& request) override {
    return group_->BeginCheck(vm_, client, request);
  }

 private:
  control_group* group_;
  int vm_;
};

control_group::control_group(int voters, int vms, uint32_t seed,
                             uint32_t max_direct_nodes)
    : random_(seed) {
  for (int vm = 0; vm < vms; ++vm) {
    vm_slot& slot = vms_.emplace_back();
    slot.configured.name = Concat("control-", vm);
    slot.configured.zone = Concat("zone-", vm);
    slot.configured.control.listen = AddressOf(vm);
    slot.configured.control.data_folder = "data";
    slot.configured.control.max_direct_nodes = max_direct_nodes;
    slot.configured.control.standby = vm >= voters;
    for (int peer = 0; peer < voters; ++peer) {
      slot.configured.control.peers.push_back(
          {Concat("control-", peer), AddressOf(peer)});
    }
    slot.files = std::make_unique<control::fake_file_system>();
    slot.out = std::make_unique<outlet>(this, vm);
    slot.check = std::make_unique<checker>(this, vm);
  }
  for (int vm = 0; vm < vms; ++vm) {
    Start(vm);
  }
}

void control_group::Start(int vm) {
  vm_slot& slot = vms_[vm];
  auto opened = control_member::Open(slot.configured, slot.files.get(),
                                     slot.out.get(), slot.check.get(),
                                     next_member_++, random_(), Now(vm));
  if (!opened) {
    throw std::runtime_error(Describe(opened.error()));
  }
  slot.member = std::move(opened).value();
}

void control_group::Crash(int vm) {
  vms_[vm].member.reset();
  vms_[vm].checks.clear();
  vms_[vm].files->Restart(random_());
}

void control_group::LoseDisk(int vm) {
  vms_[vm].member.reset();
  vms_[vm].checks.clear();
  vms_[vm].files = std::make_unique<control::fake_file_system>();
}

void control_group::SetSeeds(int vm, const std::vector<int>& seeds) {
  vms_[vm].configured.control.peers.clear();
  for (const int seed : seeds) {
    vms_[vm].configured.control.peers.push_back(
        {Concat("control-", seed), AddressOf(seed)});
  }
}

void control_group::Isolate(int vm) {
  for (int other = 0; other < Size(); ++other) {
    Cut(vm, other);
    Cut(other, vm);
  }
}

void control_group::Ask(int vm, const std::string& client,
                        const inner::control_request& request) {
  if (IsUp(vm)) {
    vms_[vm].member->OnRequest(client, request, Now(vm));
  }
}

void control_group::Post(int from, const std::string& address,
                         const inner::control_request& request) {
  const endpoint to = ParseEndpoint(address).value();
  const int copies = random_() % 100 < loss_percent_   ? 0
                     : random_() % 100 < loss_percent_ ? 2
                                                       : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const absl::Duration delay = absl::Milliseconds(1 + random_() % 30);
    messages_.push_back({now_ + delay, from, to.port - kFirstPort, request});
  }
}

void control_group::Deliver() {
  std::vector<message> due;
  std::vector<message> later;
  for (message& item : messages_) {
    (item.due <= now_ ? due : later).push_back(std::move(item));
  }
  messages_ = std::move(later);
  for (const message& item : due) {
    const bool is_cut = cuts_.count({item.from, item.to}) > 0;
    if (!is_cut && IsUp(item.to)) {
      vms_[item.to].member->OnRequest("peer", item.request, Now(item.to));
    }
  }
}

result<void> control_group::BeginCheck(int vm, const std::string& client,
                                       const inner::operator_request& request) {
  std::deque<waiting_check>& checks = vms_[vm].checks;
  if (check_time_ == absl::ZeroDuration()) {
    vms_[vm].member->OnChecked(CheckSubmission(client, request), Now(vm));
    return boost::outcome_v2::success();
  }
  if (checks.size() >= check_room_) {
    return error{error_kind::kBusy, "", "earlier texts are being checked"};
  }
  const absl::Time begun = checks.empty() ? now_ : checks.back().due;
  const absl::Duration takes =
      check_time_ * (static_cast<double>(random_() % 100) / 100.0);
  checks.push_back({begun + takes, client, request});
  return boost::outcome_v2::success();
}

void control_group::FinishChecks(int vm) {
  std::deque<waiting_check>& checks = vms_[vm].checks;
  while (!checks.empty() && checks.front().due <= now_) {
    const waiting_check done = std::move(checks.front());
    checks.pop_front();
    vms_[vm].member->OnChecked(CheckSubmission(done.client, done.request),
                               Now(vm));
  }
}

void control_group::Step() {
  now_ += kStep;
  Deliver();
  for (int vm = 0; vm < Size(); ++vm) {
    if (IsUp(vm)) {
      FinishChecks(vm);
    }
    if (IsUp(vm) && !vms_[vm].member->Advance(Now(vm))) {
      Crash(vm);  // The process ends; its disk stays.
    }
  }
}

void control_group::Run(absl::Duration length) {
  const absl::Time until = now_ + length;
  while (now_ < until) {
    Step();
  }
}

}  // namespace cardamomroute
