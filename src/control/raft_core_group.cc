// Groups that replace one another.
#include "control/raft_core.h"
#include "control/raft_group.h"

namespace cardamomroute::control {

/// A member that learns of a later group than its own gives up, so that the two
/// never form rivals: what it holds may contradict what the later group began
/// with. One that holds no entry has nothing to contradict, and follows.
void raft_core::ObserveTerm(uint64_t term) {
  if (GroupOf(term) > GroupOf(Term()) && LastIndex() > 0) {
    BecomeFollower(Term(), 0);
    replaced_ = true;
  }
}

/// True if the message is of this member's group. A member of a former group is
/// told of the present one by the term of an answer.
bool raft_core::AdmitGroup(const inner::raft_message& message) {
  ObserveTerm(message.term());
  const bool is_former = GroupOf(message.term()) < GroupOf(Term());
  if (is_former) {
    AnswerOldTerm(message);
  }
  return !is_former && !replaced_;
}

}  // namespace cardamomroute::control
