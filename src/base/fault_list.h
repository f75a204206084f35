#ifndef CARDAMOMROUTE_BASE_FAULT_LIST_H_
#define CARDAMOMROUTE_BASE_FAULT_LIST_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

#include "base/json_text.h"

namespace cardamomroute {

/// Most faults of one document that are reported at once.
constexpr size_t kMaxFaults = 1000;

/// Collects the faults of one document, to give them back in the order of the
/// text. Faults past kMaxFaults are left out.
class fault_list {
 public:
  explicit fault_list(const json_text& text) : text_(text) {}

  void Add(error_kind kind, const nlohmann::json::json_pointer& at,
           std::string_view detail);

  bool IsEmpty() const { return faults_.empty(); }

  /// True when no more faults are taken.
  bool IsFull() const { return faults_.size() >= kMaxFaults; }

  /// All faults so far, ordered by where they stand; leaves none behind.
  std::vector<error> Take();

 private:
  const json_text& text_;
  std::vector<std::pair<text_position, error>> faults_;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_FAULT_LIST_H_
