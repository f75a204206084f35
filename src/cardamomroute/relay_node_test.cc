#include "cardamomroute/relay_node.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/concat.h"
#include "cardamomroute/control_group_test_support.h"
#include "view/node_lease.h"
#include "view/view_codec.h"
#include "view/view_filter.h"

namespace cardamomroute {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(10);
constexpr char kService[] =
    R"({"services":[{"name":"index","address":"192.0.2.1:5683",)"
    R"("protocol":"datagram"}]})";
constexpr char kTwoServices[] =
    R"({"services":[{"name":"index","address":"192.0.2.1:5683",)"
    R"("protocol":"datagram"},{"name":"release","address":)"
    R"("192.0.2.2:5683","protocol":"datagram"}]})";

constexpr char kMovedService[] =
    R"({"services":[{"name":"index","address":"192.0.2.1:5683",)"
    R"("protocol":"datagram"},{"name":"release","address":)"
    R"("192.0.2.3:5683","protocol":"datagram"}]})";

std::string AgentAddress(int number) {
  return Concat("198.51.100.", number + 1, ":7001");
}

/// Agents that pull from a control group and from each other. Messages between
/// nodes arrive at once or, to those that are dead, never.
class relay_fleet {
 public:
  relay_fleet(int nodes, uint32_t max_direct_nodes, uint32_t seed,
              int balancers = 0)
      : group_(3, 3, seed, max_direct_nodes) {
    group_.Run(absl::Seconds(4));
    for (int number = 0; number < nodes; ++number) {
      const bool is_balancer = number < balancers;
      Start(number, is_balancer, balancers != 0, 1);
    }
  }

  /// Starts those of the first `balancers` nodes that are dead.
  void StartBalancers(int balancers) {
    for (int number = 0; number < balancers; ++number) {
      if (members_[ParseEndpoint(AgentAddress(number)).value()].node ==
          nullptr) {
        Start(number, true, true, 2);
      }
    }
  }

  void Apply(const char* text) {
    std::string code;
    for (int attempt = 0; code != "accepted" && attempt < 20; ++attempt) {
      const auto shown = Ask("show", "", inner::operator_answer());
      code = Ask("apply", text, shown).code();
    }
    RC_ASSERT(code == "accepted");
  }

  inner::operator_answer Status() {
    return Ask("status", "", inner::operator_answer());
  }

  void Run(absl::Duration length) {
    for (absl::Time end = Now() + length; Now() < end;) {
      Step();
    }
  }

  /// Kills nodes that others pull from, and lets each of the rest live.
  int KillRelays(int most) {
    int killed = 0;
    for (auto& [address, item] : members_) {
      if (killed < most && item.served > 0 && item.node != nullptr &&
          item.node->IsWhole()) {
        item.node.reset();
        ++killed;
      }
      item.served = 0;
    }
    return killed;
  }

  void CrashLeader() { group_.Crash(Leader()); }

  /// Nodes that live, have the newest view and may act on it.
  int InForce() {
    const view& newest = group_.Member(Leader()).State().View();
    int count = 0;
    for (const auto& [address, item] : members_) {
      const bool counts = item.node != nullptr &&
                          item.version == newest.version &&
                          item.lease.IsValid(Now());
      count += counts ? 1 : 0;
      if (counts) {
        CheckView(newest, item);
      }
    }
    return count;
  }

  /// Live nodes that have only what their service needs.
  int Parts() const {
    return static_cast<int>(
        std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
          return entry.second.node != nullptr && !entry.second.node->IsWhole();
        }));
  }

  int Targets() {
    return static_cast<int>(
        group_.Member(Leader()).State().View().targets.size());
  }
  /// Live nodes that were lost from the view, with or without a valid lease.
  int Removed() const { return removed_; }
  int RemovedWithLease() const { return removed_with_lease_; }
  int Relayed() const {
    return static_cast<int>(
        std::count_if(members_.begin(), members_.end(), [](const auto& entry) {
          return entry.second.node != nullptr && entry.second.node->IsRelayed();
        }));
  }
  /// How often a node has lost its lease or its life.
  int Lapses() const { return lapses_; }
  size_t MostBytes() const { return most_bytes_; }

 private:
  struct member {
    std::unique_ptr<relay_node> node;
    node_lease lease;
    uint64_t version = 0;
    uint64_t own_id = 0;
    int served = 0;
    bool had_lease = false;
    /// What its traffic threads have.
    view known;
  };

  void Start(int number, bool is_balancer, bool is_mixed,
             uint64_t incarnation) {
    inner::pull_request announcement;
    announcement.set_node_name(Concat("agent-", number));
    announcement.set_incarnation(incarnation);
    if (is_balancer) {
      announcement.mutable_announced_balancer()->set_inner(
          AgentAddress(number));
    } else {
      const bool is_other = is_mixed && number % 2 == 0;
      announcement.set_announced_service(is_other ? "release" : "index");
      announcement.mutable_announced_target()->set_zone(
          Concat("zone-", number % 4));
      announcement.mutable_announced_target()->set_agent(AgentAddress(number));
    }
    std::vector<endpoint> control;
    control.reserve(static_cast<size_t>(group_.Size()));
    for (int vm = 0; vm < group_.Size(); ++vm) {
      control.push_back(group_.Address(vm));
    }
    member& added = members_[ParseEndpoint(AgentAddress(number)).value()];
    added = member();
    added.node = std::make_unique<relay_node>(control, announcement);
  }

  static void CheckView(const view& newest, const member& item) {
    const std::string service = item.node->Announcement().announced_service();
    const bool is_right =
        item.known == (service.empty() ? newest : FilterView(newest, service));
    RC_ASSERT(is_right);
  }

  static bool HasNode(const view& current, uint64_t id) {
    return current.FindTarget(id) != nullptr ||
           std::any_of(current.balancers.begin(), current.balancers.end(),
                       [&](const balancer& item) { return item.id == id; });
  }

  absl::Time Now() const { return group_.Now(0); }

  int Leader() {
    for (int attempt = 0; attempt < 500; ++attempt) {
      for (int vm = 0; vm < group_.Size(); ++vm) {
        if (group_.IsUp(vm) && group_.Member(vm).Leads()) {
          return vm;
        }
      }
      Step();
    }
    return 0;
  }

  inner::operator_answer Ask(const char* command, const char* text,
                             const inner::operator_answer& base) {
    inner::control_request request;
    inner::operator_request* operation = request.mutable_operation();
    operation->set_command(command);
    operation->set_text(text);
    operation->set_submission_id(Concat("id-", ++submissions_));
    operation->set_base_version(base.version());
    operation->set_base_digest(base.digest());
    told_.reset();
    group_.Ask(Leader(), "operator", request);
    for (int step = 0; step < 200 && !told_; ++step) {
      Step();
    }
    if (!told_ || told_->code() == "no-quorum") {
      Run(absl::Milliseconds(500));
    }
    return told_.value_or(inner::operator_answer());
  }

  void Step() {
    group_.Run(kStep);
    Deliver();
    for (auto& [address, item] : members_) {
      if (item.node == nullptr) {
        continue;
      }
      if (const auto pull = item.node->NextPull(Now())) {
        Pull(address, &item, *pull);
      }
      if (item.node == nullptr) {
        continue;
      }
      if (const auto told = item.node->NextAnnouncement(Now())) {
        AskControl(Concat("announce ", ToString(address)), *told);
      }
    }
    Deliver();
    NoteRemovals();
    for (auto& [address, item] : members_) {
      const bool has_lease = item.node != nullptr && item.lease.IsValid(Now());
      lapses_ += item.had_lease && !has_lease ? 1 : 0;
      item.had_lease = has_lease;
    }
  }

  void AskControl(const std::string& client, const relay_pull& pull) {
    inner::control_request request;
    *request.mutable_pull() = pull.request;
    for (int vm = 0; vm < group_.Size(); ++vm) {
      if (group_.Address(vm) == pull.to) {
        group_.Ask(vm, client, request);
      }
    }
  }

  void Pull(const endpoint& address, member* item, const relay_pull& pull) {
    const auto relay = members_.find(pull.to);
    if (relay == members_.end()) {
      AskControl(Concat("pull ", ToString(address)), pull);
    } else if (relay->second.node != nullptr) {
      ++relay->second.served;
      const inner::pull_answer answer =
          relay->second.node->OnPull(pull.request, Now());
      if (!answer.has_delta() && answer.taken() &&
          pull.request.subtree().member_steps_size() == 0) {
        most_bytes_ = std::max(
            most_bytes_, pull.request.ByteSizeLong() + answer.ByteSizeLong());
      }
      Take(item, item->node->OnAnswer(answer, Now()));
    }
  }

  void Deliver() {
    for (const heard_answer& heard : group_.TakeAnswers()) {
      if (heard.client == "operator") {
        told_ = heard.answer.operation();
        continue;
      }
      const size_t space = heard.client.find(' ');
      if (space == std::string::npos) {
        continue;
      }
      member& item =
          members_[ParseEndpoint(heard.client.substr(space + 1)).value()];
      if (item.node == nullptr) {
        continue;
      }
      Take(&item, heard.client[0] == 'p'
                      ? item.node->OnAnswer(heard.answer.pull(), Now())
                      : item.node->OnAnnouncementAnswer(heard.answer.pull()));
    }
  }

  void Take(member* item, const std::optional<node_event>& event) {
    if (!event) {
      return;
    }
    if (event->change != nullptr) {
      RC_ASSERT(event->change->to_version >= item->version);
      item->version = event->change->to_version;
      RC_ASSERT(ApplyChange(&item->known, *event->change).has_value());
    }
    item->own_id = event->own_id != 0 ? event->own_id : item->own_id;
    item->lease.OnHeard(item->version, event->current_version, event->asked_at);
  }

  // On the VM that has applied most.
  void NoteRemovals() {
    const control::control_state* newest = nullptr;
    for (int vm = 0; vm < group_.Size(); ++vm) {
      if (group_.IsUp(vm) &&
          (newest == nullptr ||
           group_.Member(vm).State().View().version > newest->View().version)) {
        newest = &group_.Member(vm).State();
      }
    }
    for (auto& [address, item] : members_) {
      if (item.node == nullptr || item.own_id == 0 ||
          newest->View().version < item.version ||
          HasNode(newest->View(), item.own_id)) {
        continue;
      }
      ++removed_;
      removed_with_lease_ += item.lease.IsValid(Now()) ? 1 : 0;
      item.own_id = 0;
    }
  }

  control_group group_;
  std::map<endpoint, member> members_;
  std::optional<inner::operator_answer> told_;
  int submissions_ = 0;
  int removed_ = 0;
  int removed_with_lease_ = 0;
  int lapses_ = 0;
  size_t most_bytes_ = 0;
};

RC_BOOST_PROP(ViewsAndHeartbeatsPassRelaysThatDie, ()) {
  const int nodes = *rc::gen::inRange(6, 60);
  const uint32_t max_direct = *rc::gen::inRange<uint32_t>(2, 9);
  relay_fleet fleet(nodes, max_direct, *rc::gen::arbitrary<uint32_t>());
  fleet.Apply(kService);
  fleet.Run(absl::Seconds(12));
  RC_ASSERT(fleet.Targets() == nodes);
  RC_ASSERT(fleet.InForce() == nodes);
  RC_ASSERT(fleet.Relayed() >= nodes - static_cast<int>(max_direct));
  RC_ASSERT(fleet.Removed() == 0);
  RC_ASSERT(fleet.MostBytes() < 400U);

  const int killed = fleet.KillRelays(*rc::gen::inRange(0, 4));
  if (*rc::gen::inRange(0, 4) == 0) {
    fleet.CrashLeader();
  }
  fleet.Apply(kTwoServices);
  fleet.Run(absl::Seconds(15));
  RC_ASSERT(fleet.InForce() == nodes - killed);
  RC_ASSERT(fleet.Targets() == nodes - killed);
  RC_ASSERT(fleet.RemovedWithLease() == 0);
  RC_ASSERT(fleet.Removed() == 0);
  const inner::operator_answer status = fleet.Status();
  RC_ASSERT(static_cast<int>(status.nodes()) == nodes - killed);
  RC_ASSERT(static_cast<int>(status.nodes_in_force()) == nodes - killed);
}

RC_BOOST_PROP(AgentsBehindBalancersTakeTheirPart, ()) {
  const int balancers = *rc::gen::inRange(1, 7);
  const int agents = *rc::gen::inRange(8, 17);
  const int nodes = balancers + agents;
  const uint32_t max_direct = *rc::gen::inRange<uint32_t>(4, 9);
  relay_fleet fleet(nodes, max_direct, *rc::gen::arbitrary<uint32_t>(),
                    balancers);
  fleet.Apply(kTwoServices);
  fleet.Run(absl::Seconds(12));
  RC_ASSERT(fleet.Targets() == agents);
  RC_ASSERT(fleet.InForce() == nodes);
  RC_ASSERT(fleet.Parts() == agents);
  RC_ASSERT(fleet.Removed() == 0);

  // With no balancer left the agents relay, for which they need all.
  const int killed = fleet.KillRelays(*rc::gen::inRange(0, balancers + 1));
  fleet.Apply(kMovedService);
  fleet.Run(absl::Seconds(25));
  RC_ASSERT(fleet.InForce() == nodes - killed);
  RC_ASSERT(fleet.Targets() == agents);
  RC_ASSERT(fleet.RemovedWithLease() == 0);
  RC_ASSERT(fleet.Parts() == (killed < balancers ? agents : 0));

  // They go back to their part once there are balancers again.
  const int lapses = fleet.Lapses();
  fleet.StartBalancers(balancers);
  fleet.Run(absl::Seconds(75));
  RC_ASSERT(fleet.InForce() == nodes);
  RC_ASSERT(fleet.Parts() == agents);
  RC_ASSERT(fleet.Lapses() == lapses);
}

// How many members the next pull lists; its answer asks for them or not.
int ListedMembers(relay_node* node, absl::Time now, bool needs_members) {
  const auto pull = node->NextPull(now);
  BOOST_REQUIRE(pull.has_value());
  inner::pull_answer answer;
  answer.set_sequence(pull->request.sequence());
  answer.set_taken(true);
  answer.set_present_version(1);
  answer.set_own_id(5);
  answer.set_needs_members(needs_members);
  BOOST_TEST(node->OnAnswer(answer, now).has_value());
  return pull->request.subtree().member_steps_size();
}

BOOST_AUTO_TEST_CASE(MembersAreListedOnceAndAgainWhereTheyAreAskedFor) {
  inner::pull_request announcement;
  announcement.mutable_announced_balancer()->set_inner(AgentAddress(0));
  relay_node node({ParseEndpoint("192.0.2.1:7000").value()}, announcement);
  absl::Time now = absl::FromUnixSeconds(1000);
  BOOST_TEST(ListedMembers(&node, now, false) == 0);
  inner::pull_request child;
  child.set_address(AgentAddress(1));
  child.set_own_id(7);
  std::vector<int> listed;
  for (const bool needs_members : {false, false, true, false, false}) {
    now += kRelayPullInterval;
    BOOST_TEST(node.OnPull(child, now).taken());
    listed.push_back(ListedMembers(&node, now, needs_members));
  }
  BOOST_TEST(listed == std::vector<int>({2, 0, 0, 2, 0}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(ALateAnswerGivesAViewButRenewsNoLease) {
  inner::pull_request announcement;
  announcement.mutable_announced_balancer()->set_inner(AgentAddress(0));
  relay_node node({ParseEndpoint("192.0.2.1:7000").value()}, announcement);
  const absl::Time now = absl::FromUnixSeconds(1000);
  inner::pull_answer answer;
  answer.set_sequence(node.NextPull(now)->request.sequence());
  answer.set_taken(true);
  answer.set_present_version(9);
  answer.mutable_delta()->set_to_version(9);
  BOOST_REQUIRE(node.NextPull(now + kRelayPullInterval).has_value());
  const auto event = node.OnAnswer(answer, now + kRelayPullInterval);
  BOOST_REQUIRE(event.has_value());
  BOOST_TEST(event->change->to_version == 9U);
  BOOST_TEST((event->asked_at == absl::InfinitePast()));
}

}  // namespace
}  // namespace cardamomroute
