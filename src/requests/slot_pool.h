#ifndef CARDAMOMROUTE_REQUESTS_SLOT_POOL_H_
#define CARDAMOMROUTE_REQUESTS_SLOT_POOL_H_

#include <algorithm>
#include <cstdint>

namespace cardamomroute {

/// Requests that may run in the upstream at the same time. It starts with one,
/// since the upstream may be cold, and gains one after each kAnswersPerIncrease
/// answers; an upstream that sheds load loses one each time.
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
