#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_GROUP_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_GROUP_TEST_SUPPORT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/time/time.h"
#include "cardamomroute/control_member.h"
#include "control/file_system_test_support.h"

namespace cardamomroute {

/// What a client was told.
struct heard_answer {
  std::string client;
  inner::control_answer answer;
};

/// Control members on fake disks; messages between them take time, get lost,
/// doubled and reordered, and links are cut one way or both ways.
class control_group {
 public:
  /// VMs 0 to `voters` - 1 found the group; the others are standbys.
  control_group(int voters, int vms, uint32_t seed,
                uint32_t max_direct_nodes = 256);

  /// Lets time pass, in steps.
  void Run(absl::Duration length);

  void Ask(int vm, const std::string& client,
           const inner::control_request& request);
  /// Answers since the last call.
  std::vector<heard_answer> TakeAnswers() { return std::move(answers_); }

  void Crash(int vm);
  void Start(int vm);
  void LoseDisk(int vm);
  /// The seeds in the VM's settings from its next start on.
  void SetSeeds(int vm, const std::vector<int>& seeds);
  bool IsUp(int vm) const { return vms_[vm].member != nullptr; }
  /// Messages from one VM to another are lost from now on.
  void Cut(int from, int to) { cuts_.emplace(from, to); }
  void Isolate(int vm);
  void Heal() { cuts_.clear(); }
  void SetLoss(uint32_t percent) { loss_percent_ = percent; }
  /// Checking a text takes up to `longest` from now on; at first none.
  void SetCheckTime(absl::Duration longest) { check_time_ = longest; }
  /// Texts that wait to be checked at one VM at most.
  void SetCheckRoom(size_t texts) { check_room_ = texts; }

  control_member& Member(int vm) { return *vms_[vm].member; }
  control::fake_file_system& Files(int vm) { return *vms_[vm].files; }
  /// Where the VM listens.
  endpoint Address(int vm) const { return vms_[vm].configured.control.listen; }
  int Size() const { return static_cast<int>(vms_.size()); }
  /// The VM's clock, which may differ from the others'.
  absl::Time Now(int vm) const { return now_ + vms_[vm].clock_offset; }
  void SetClockOffset(int vm, absl::Duration offset) {
    vms_[vm].clock_offset = offset;
  }

 private:
  class outlet;
  class checker;
  struct waiting_check {
    absl::Time due;
    std::string client;
    inner::operator_request request;
  };
  struct vm_slot {
    settings configured;
    absl::Duration clock_offset;
    std::unique_ptr<control::fake_file_system> files;
    std::unique_ptr<control_outlet> out;
    std::unique_ptr<submission_checker> check;
    std::deque<waiting_check> checks;
    std::unique_ptr<control_member> member;
  };
  struct message {
    absl::Time due;
    int from = 0;
    int to = 0;
    inner::control_request request;
  };

  void Step();
  void Post(int from, const std::string& address,
            const inner::control_request& request);
  void Deliver();
  result<void> BeginCheck(int vm, const std::string& client,
                          const inner::operator_request& request);
  void FinishChecks(int vm);

  std::mt19937 random_;
  absl::Time now_ = absl::FromUnixSeconds(1000);
  std::vector<vm_slot> vms_;
  std::vector<message> messages_;
  std::vector<heard_answer> answers_;
  std::set<std::pair<int, int>> cuts_;
  uint32_t loss_percent_ = 0;
  absl::Duration check_time_;
  size_t check_room_ = 32;
  member_id next_member_ = 1;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_GROUP_TEST_SUPPORT_H_
