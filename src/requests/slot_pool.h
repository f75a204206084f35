#ifndef CARDAMOMROUTE_REQUESTS_SLOT_POOL_H_
#define CARDAMOMROUTE_REQUESTS_SLOT_POOL_H_

#include <algorithm>
#include <cstdint>

namespace cardamomroute {

/// Limits the number of requests that run in the upstream at the same time. The
/// limit starts at 1, since the upstream may be cold, rises by 1 after every
/// kAnswersPerIncrease answers up to the configured slots, and drops by 1
/// (never below 1) whenever the upstream sheds a request.
class slot_pool {
 public:
  static constexpr int kAnswersPerIncrease = 8;

  explicit slot_pool(uint32_t slots) : slots_(std::max(slots, 1U)) {}

  uint32_t Slots() const { return slots_; }
  uint32_t Limit() const { return limit_; }
  uint32_t Used() const { return used_; }
  bool HasFree() const { return used_ < limit_; }

  void Take() { ++used_; }
  void Release() { --used_; }

  void OnShed() {
    limit_ = std::max(limit_ - 1, 1U);
    answers_ = 0;
  }
  void OnAnswer() {
    if (limit_ < slots_ && ++answers_ >= kAnswersPerIncrease) {
      ++limit_;
      answers_ = 0;
    }
  }

 private:
  uint32_t slots_;
  uint32_t limit_ = 1;
  uint32_t used_ = 0;
  int answers_ = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_REQUESTS_SLOT_POOL_H_
