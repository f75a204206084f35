#include "base/fault_list.h"

#include <algorithm>
#include <tuple>

namespace cardamomroute {

void fault_list::Add(error_kind kind, const nlohmann::json::json_pointer& at,
                     std::string_view detail) {
  if (IsFull()) {
    return;
  }
  faults_.emplace_back(text_.PositionOf(at), text_.FaultAt(kind, at, detail));
}

std::vector<error> fault_list::Take() {
  std::stable_sort(faults_.begin(), faults_.end(),
                   [](const auto& a, const auto& b) {
                     return std::tie(a.first.line, a.first.column) <
                            std::tie(b.first.line, b.first.column);
                   });
  std::vector<error> ordered;
  ordered.reserve(faults_.size());
  for (auto& [position, fault] : faults_) {
    ordered.push_back(std::move(fault));
  }
  faults_.clear();
  return ordered;
}

}  // namespace cardamomroute
