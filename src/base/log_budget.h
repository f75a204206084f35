#ifndef CARDAMOMROUTE_BASE_LOG_BUDGET_H_
#define CARDAMOMROUTE_BASE_LOG_BUDGET_H_

#include <atomic>
#include <cstdint>

namespace cardamomroute::internal {

/// Counts the lines that wait to be written and those that were dropped. May
/// be used from several threads.
class log_budget {
 public:
  explicit log_budget(uint32_t most) : most_(most) {}

  /// True when one more line may wait; else it counts as dropped.
  bool Take() {
    if (waiting_.fetch_add(1, std::memory_order_relaxed) < most_) {
      return true;
    }
    waiting_.fetch_sub(1, std::memory_order_relaxed);
    dropped_.fetch_add(1, std::memory_order_relaxed);
    return false;
  }

  /// A line that Take allowed has been written.
  void GiveBack() { waiting_.fetch_sub(1, std::memory_order_relaxed); }

  /// Lines dropped since the last call.
  uint64_t TakeDropped() {
    return dropped_.load(std::memory_order_relaxed) == 0
               ? 0
               : dropped_.exchange(0, std::memory_order_relaxed);
  }

 private:
  const uint32_t most_;
  std::atomic<uint32_t> waiting_{0};
  std::atomic<uint64_t> dropped_{0};
};

}  // namespace cardamomroute::internal

#endif  // CARDAMOMROUTE_BASE_LOG_BUDGET_H_
