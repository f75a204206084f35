#include "control/raft_types.h"

#include <array>
#include <cstddef>
#include <utility>

namespace cardamomroute::control {
namespace {

constexpr std::array<std::string_view, 4> kRoleNames = {
    "follower", "pre-candidate", "candidate", "leader"};
constexpr std::array<std::string_view, 4> kChangeNames = {
    "add-standby", "promote", "demote", "remove"};

}  // namespace

std::string_view NameOf(raft_role role) {
  return kRoleNames.at(static_cast<size_t>(role));
}

std::string_view NameOf(membership_change_kind kind) {
  return kChangeNames.at(static_cast<size_t>(kind));
}

recovered_state FoundingState(const inner::membership_record& membership) {
  auto snapshot = std::make_shared<inner::raft_snapshot_record>();
  snapshot->set_index(1);
  snapshot->set_term(1);
  *snapshot->mutable_membership() = membership;
  recovered_state state;
  state.hard_state.set_term(1);
  state.snapshot = std::move(snapshot);
  return state;
}

}  // namespace cardamomroute::control
