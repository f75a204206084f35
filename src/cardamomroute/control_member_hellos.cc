#include <set>
#include <string>
#include <vector>

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
  if (contacts_.OnNamed(hello.contacts(), now)) {
    next_hello_ = now;
  }
  if (hello.term() != 0) {
    OnGroupHello(hello, now);
  } else if (!hello.is_answer()) {
    founding_.OnHello(sender);
    raft_->RecordLostDisks(sender);
  }
  const bool is_member = raft_->Membership().Find(sender.id()) != nullptr;
  const bool is_of_group =
      hello.term() == 0 ||
      control::GroupOf(hello.term()) == control::GroupOf(raft_->Term());
  if (hello.is_leaving() && raft_->HoldsLease(now)) {
    repair_.RequestLeave(sender.id(), now);
  }
  if (hello.is_answer() || is_member || !is_of_group) {
    return;
  }
  Admit(sender, now);
  SendHello(sender.address(), /*is_answer=*/true, now);
}

// A VM without a group, or one that was removed from this one while it was
// away.
void control_member::Admit(const inner::member_record& sender, absl::Time now) {
  if (!raft_->HoldsLease(now)) {
    return;
  }
  const auto admitted =
      repair_.RequestJoin(sender, raft_->MemberStatuses(), now);
  if (!admitted) {
    log_line(log_level::kWarn, "join_refused")
        .With("member", sender.id())
        .With("name", sender.name())
        .With("reason", Describe(admitted.error()));
  }
}

// Members of a former group learn of the present one, whoever asks whom.
void control_member::OnGroupHello(const inner::control_hello& hello,
                                  absl::Time now) {
  raft_->ObserveTerm(hello.term());
  if (control::GroupOf(hello.term()) < control::GroupOf(raft_->Term())) {
    SendHello(hello.sender().address(), /*is_answer=*/false, now);
  }
}

void control_member::SendHello(const std::string& address, bool is_answer,
                               absl::Time now) {
  inner::control_request request;
  inner::control_hello* hello = request.mutable_hello();
  *hello->mutable_sender() = self_;
  hello->set_term(raft_->LastIndex() > 0 ? raft_->Term() : 0);
  hello->set_is_answer(is_answer);
  hello->set_is_leaving(stopping_ && MayBeReplaced());
  if (is_answer) {
    for (const std::string& contact : Contacts(now)) {
      hello->add_contacts(contact);
    }
  }
  outlet_->SendToPeer(address, request);
}

// Where a VM may find its group: the members if this VM knows any.
std::set<std::string> control_member::Contacts(absl::Time now) {
  std::set<std::string> contacts;
  for (const auto& member : raft_->Membership().Members()) {
    contacts.insert(member.address());
  }
  if (contacts.empty()) {
    contacts = SeedAddresses();
    const std::vector<std::string> named = contacts_.All(now);
    contacts.insert(named.begin(), named.end());
  }
  return contacts;
}

std::set<std::string> control_member::SeedAddresses() const {
  std::set<std::string> seeds;
  for (const control_peer& peer : settings_.control.peers) {
    seeds.insert(ToString(peer.address));
  }
  return seeds;
}

// Until a membership names this member, and while it hears no leader, it asks
// every VM that it knows of. A leader tells those that are no members. A voter
// that stops tells all.
void control_member::SendHellos(absl::Time now) {
  const bool leads = raft_->Role() == control::raft_role::kLeader;
  const bool is_settled = raft_->Membership().Find(self_.id()) != nullptr &&
                          (leads || raft_->HasLeaderContact(now));
  const bool is_leaving = stopping_ && MayBeReplaced();
  if (now < next_hello_ || (is_settled && !leads && !is_leaving)) {
    return;
  }
  next_hello_ = now + kHelloInterval;
  std::set<std::string> receivers = SeedAddresses();
  const std::vector<std::string> named = contacts_.All(now);
  receivers.insert(named.begin(), named.end());
  for (const auto& member : raft_->Membership().Members()) {
    if (leads) {
      receivers.erase(member.address());
    } else {
      receivers.insert(member.address());
    }
  }
  receivers.erase(self_.address());
  for (const std::string& receiver : receivers) {
    SendHello(receiver, /*is_answer=*/false, now);
  }
}

}  // namespace cardamomroute
