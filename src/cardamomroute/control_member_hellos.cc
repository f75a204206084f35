#include <algorithm>

#include "base/log.h"
#include "cardamomroute/control_member.h"
#include "control/raft_group.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kHelloInterval = absl::Milliseconds(300);

}  // namespace

void control_member::OnHello(const inner::control_hello& hello,
                             absl::Time now) {
  const inner::member_record& sender = hello.sender();
  addresses_[sender.id()] = sender.address();
  if (hello.term() != 0) {
    OnGroupHello(hello);
    return;
  }
  founding_.OnHello(sender);
  raft_->RecordLostDisks(sender);
  if (!raft_->HoldsLease(now)) {
    return;
  }
  const auto admitted =
      repair_.RequestJoin(sender, raft_->MemberStatuses(), now);
  if (!admitted) {
    log_line(log_level::kWarn, "join_refused")
        .With("member", sender.id())
        .With("reason", Describe(admitted.error()));
  }
}

// Members of a former group learn of the present one, whoever asks whom.
void control_member::OnGroupHello(const inner::control_hello& hello) {
  raft_->ObserveTerm(hello.term());
  if (control::GroupOf(hello.term()) < control::GroupOf(raft_->Term())) {
    SendHello(hello.sender().address());
  }
}

void control_member::SendHello(const std::string& address) {
  inner::control_request request;
  inner::control_hello* hello = request.mutable_hello();
  *hello->mutable_sender() = self_;
  hello->set_term(raft_->LastIndex() > 0 ? raft_->Term() : 0);
  outlet_->SendToPeer(address, request);
}

// Until a membership names this member, and while it hears no leader, it asks
// every VM that it knows of. A leader tells those that are no members.
void control_member::SendHellos(absl::Time now) {
  const bool leads = raft_->Role() == control::raft_role::kLeader;
  const bool is_settled = raft_->Membership().Find(self_.id()) != nullptr &&
                          (leads || raft_->HasLeaderContact(now));
  if (now < next_hello_ || (is_settled && !leads)) {
    return;
  }
  next_hello_ = now + kHelloInterval;
  const auto& members = raft_->Membership().Members();
  for (const control_peer& peer : settings_.control.peers) {
    const std::string address = ToString(peer.address);
    const bool is_member = std::any_of(
        members.begin(), members.end(),
        [&](const auto& member) { return member.address() == address; });
    if (peer.name != settings_.name && !(leads && is_member)) {
      SendHello(address);
    }
  }
}

}  // namespace cardamomroute
