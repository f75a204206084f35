#include "control/raft_positions.h"

#include <algorithm>
#include <cstddef>
#include <tuple>

namespace cardamomroute::control {
namespace {

constexpr int kNonceBits = 32;
constexpr uint64_t kNonceMask = (uint64_t{1} << kNonceBits) - 1;
constexpr size_t kMaxRunsPerMember = 2;

bool IsAhead(const inner::raft_position& a, const inner::raft_position& b) {
  return std::tuple(a.term(), a.index()) > std::tuple(b.term(), b.index());
}

void AdvanceTo(inner::raft_position& position, const inner::raft_position& to) {
  if (IsAhead(to, position)) {
    position.set_term(to.term());
    position.set_index(to.index());
  }
}

}  // namespace

uint64_t RunOf(uint64_t start_count, uint64_t nonce) {
  return start_count << kNonceBits | (nonce & kNonceMask);
}

uint64_t StartsOf(uint64_t run) { return run >> kNonceBits; }

void raft_positions::Record(const inner::raft_position& position) {
  std::vector<inner::raft_position>& runs = runs_by_member_[position.member()];
  for (inner::raft_position& known : runs) {
    if (known.run() == position.run()) {
      AdvanceTo(known, position);
      return;
    }
  }
  runs.push_back(position);
  std::sort(runs.begin(), runs.end(),
            [](const auto& a, const auto& b) { return a.run() < b.run(); });
  if (runs.size() > kMaxRunsPerMember) {
    AdvanceTo(runs[1], runs[0]);
    runs.erase(runs.begin());
  }
}

std::vector<inner::raft_position> raft_positions::Of(member_id member) const {
  const auto found = runs_by_member_.find(member);
  return found == runs_by_member_.end() ? std::vector<inner::raft_position>()
                                        : found->second;
}

bool raft_positions::HasConflictingRun(member_id member, uint64_t run) const {
  const std::vector<inner::raft_position> runs = Of(member);
  return std::any_of(runs.begin(), runs.end(), [run](const auto& known) {
    return known.run() != run && StartsOf(known.run()) >= StartsOf(run);
  });
}

bool raft_positions::Contradicts(const inner::raft_position& start) const {
  if (HasConflictingRun(start.member(), start.run())) {
    return true;
  }
  const std::vector<inner::raft_position> runs = Of(start.member());
  return std::any_of(runs.begin(), runs.end(), [&start](const auto& known) {
    return known.run() != start.run() && IsAhead(known, start);
  });
}

}  // namespace cardamomroute::control
