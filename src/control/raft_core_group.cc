// Detection of a newer group that replaces this member's group.
#include "control/raft_core.h"
#include "control/raft_group.h"

namespace cardamomroute::control {

/// Stops this member if the term belongs to a newer group. Its log may conflict
/// with the state that the newer group started from, so the two groups must not
/// run side by side. A member without entries has no conflict and may follow
/// the newer group.
void raft_core::ObserveTerm(uint64_t term) {
  if (GroupOf(term) > GroupOf(Term()) && LastIndex() > 0) {
    BecomeFollower(Term(), 0);
    group_replaced_ = true;
  }
}

/// True if the message must be handled. Answers a message of an older group, so
/// that its sender learns of the newer group from the term of the answer.
bool raft_core::ReconcileGroup(const inner::raft_message& message) {
  ObserveTerm(message.term());
  const bool is_older_group = GroupOf(message.term()) < GroupOf(Term());
  if (is_older_group) {
    RejectStaleTerm(message);
  }
  return !is_older_group && !group_replaced_;
}

}  // namespace cardamomroute::control
