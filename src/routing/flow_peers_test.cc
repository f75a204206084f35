#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

#include "routing/flow_core.h"
#include "routing/placement_strategy.h"

namespace cardamomroute {
namespace {

constexpr service_id kService = 1;
constexpr target_id kOwn = 1;
constexpr target_id kPeer = 2;
constexpr target_id kOtherPeer = 3;
constexpr target_id kJoining = 4;

/// One core among the targets 1 to 3; a fourth joins with version 2.
class peer_fixture {
 public:
  peer_fixture() {
    ShowView(1, 0, {kOwn, kPeer, kOtherPeer});
    core_.OnCurrentVersion(1, now_);
  }

  void ShowFourth() {
    ShowView(2, 1, {kOwn, kPeer, kOtherPeer, kJoining});
    core_.OnCurrentVersion(2, now_);
  }

  flow_actions ShowWithoutPeer() {
    flow_actions actions = ShowView(2, 1, {kOwn, kOtherPeer});
    core_.OnCurrentVersion(2, now_);
    return actions;
  }

  flow_actions TickAfter(absl::Duration wait) {
    now_ += wait;
    flow_actions actions;
    core_.OnTick(now_, &actions);
    return actions;
  }

  /// A caller whose home is `home` in version 1, and `next` in version 2.
  endpoint CallerOf(target_id home, target_id next) const {
    const auto routes_of = [](const std::vector<target_id>& ids) {
      std::vector<route_target> targets(ids.size());
      for (std::size_t i = 0; i < ids.size(); ++i) {
        targets[i].id = ids[i];
      }
      return service_routes(std::move(targets));
    };
    const service_routes first = routes_of({kOwn, kPeer, kOtherPeer});
    const service_routes second =
        routes_of({kOwn, kPeer, kOtherPeer, kJoining});
    endpoint caller;
    for (caller.port = 1;; ++caller.port) {
      const uint64_t hash = HashOf({caller, kService});
      if (first.Home(hash) == home && second.Home(hash) == next) {
        return caller;
      }
    }
  }

  packet_header Header(packet_kind kind, const endpoint& caller,
                       target_id sender) const {
    packet_header header;
    header.kind = kind;
    header.flow = {caller, kService};
    header.view_version = 1;
    header.epoch = 1;
    header.sender = sender;
    header.receiver = kOwn;
    return header;
  }

  flow_actions Receive(const packet_header& header) {
    flow_actions actions;
    core_.OnPacket(header, "", now_, &actions);
    return actions;
  }

  /// A packet of a balancer that has the view of version 2.
  flow_actions ReceiveUnderLaterView(const endpoint& caller) {
    packet_header header = Header(packet_kind::kFromCaller, caller, 0);
    header.view_version = 2;
    return Receive(header);
  }

  flow_actions ReceiveRegister(const endpoint& caller, target_id sender,
                               uint64_t generation) {
    packet_header header = Header(packet_kind::kRegister, {}, sender);
    header.flows = {{caller, generation}};
    return Receive(header);
  }

 private:
  flow_actions ShowView(uint64_t version, uint64_t previous_epoch,
                        const std::vector<target_id>& ids) {
    view current;
    current.version = version;
    service item;
    item.id = kService;
    item.epoch = version;
    item.previous_epoch = previous_epoch;
    current.services = {item};
    for (const target_id id : ids) {
      target member;
      member.id = id;
      member.service = kService;
      member.since_version = id == kJoining ? version : 1;
      current.targets.push_back(member);
    }
    flow_actions actions;
    core_.OnView(current, now_, &actions);
    return actions;
  }

  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  flow_core core_{kOwn, kService, &HomeOnlyPlacement()};
};

const flow_action* FindKind(const flow_actions& actions,
                            flow_action_kind kind) {
  const auto found =
      std::find_if(actions.begin(), actions.end(),
                   [&](const flow_action& item) { return item.kind == kind; });
  return found != actions.end() ? &*found : nullptr;
}

const flow_action* FindMessage(const flow_actions& actions, packet_kind kind) {
  const auto found = std::find_if(
      actions.begin(), actions.end(), [&](const flow_action& item) {
        return item.kind == flow_action_kind::kSend && item.header.kind == kind;
      });
  return found != actions.end() ? &*found : nullptr;
}

packet_header MakeGrant(const peer_fixture& fixture, const endpoint& caller) {
  packet_header grant = fixture.Header(packet_kind::kFromCaller, caller, kPeer);
  grant.holder = kOwn;
  grant.generation = 100;
  grant.grant = true;
  return grant;
}

BOOST_FIXTURE_TEST_CASE(takes_a_flow_that_its_home_grants, peer_fixture) {
  const flow_actions actions =
      Receive(MakeGrant(*this, CallerOf(kPeer, kPeer)));
  BOOST_REQUIRE(FindKind(actions, flow_action_kind::kDeliver) != nullptr);
  BOOST_TEST(FindMessage(actions, packet_kind::kRegister)->to == kPeer);
}

// Guards against callers being told "unknown" by the holder of their flow,
// while it cannot get the view that their balancer has: with the control leader
// dead, a call ran and its repeat was refused.
BOOST_FIXTURE_TEST_CASE(keeps_its_flows_while_its_view_is_behind,
                        peer_fixture) {
  const endpoint caller = CallerOf(kPeer, kPeer);
  Receive(MakeGrant(*this, caller));
  const flow_actions actions = ReceiveUnderLaterView(caller);
  BOOST_TEST(FindKind(actions, flow_action_kind::kDeliver) != nullptr);
  BOOST_TEST(FindKind(actions, flow_action_kind::kPullNow) != nullptr);
}

// The same at the flow's home, which waits before: the holder may be gone in
// the later view.
BOOST_FIXTURE_TEST_CASE(redirects_flows_rather_than_refuse_them, peer_fixture) {
  const endpoint caller = CallerOf(kOwn, kOwn);
  ReceiveRegister(caller, kPeer, 100);
  const flow_actions at_once = ReceiveUnderLaterView(caller);
  BOOST_TEST(FindMessage(at_once, packet_kind::kFromCaller) == nullptr);
  BOOST_TEST(FindKind(at_once, flow_action_kind::kPullNow) != nullptr);
  const flow_actions later = TickAfter(absl::Seconds(1));
  BOOST_REQUIRE(FindMessage(later, packet_kind::kFromCaller) != nullptr);
  BOOST_TEST(FindMessage(later, packet_kind::kFromCaller)->to == kPeer);
  BOOST_TEST(FindKind(later, flow_action_kind::kRefuse) == nullptr);
}

// Guards against packets that are sent to a holder that is gone in the view of
// their balancer, while it is known a moment later where they go.
BOOST_FIXTURE_TEST_CASE(awaits_the_view_before_it_redirects, peer_fixture) {
  const endpoint caller = CallerOf(kOwn, kOwn);
  ReceiveRegister(caller, kPeer, 100);
  const flow_actions at_once = ReceiveUnderLaterView(caller);
  BOOST_TEST(FindMessage(at_once, packet_kind::kFromCaller) == nullptr);
  const flow_actions later = ShowWithoutPeer();
  BOOST_TEST(FindMessage(later, packet_kind::kFromCaller) == nullptr);
  BOOST_TEST(FindKind(later, flow_action_kind::kRefuse) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(places_no_flow_while_its_view_is_behind, peer_fixture) {
  const flow_actions actions = ReceiveUnderLaterView(CallerOf(kOwn, kOwn));
  BOOST_TEST(FindKind(actions, flow_action_kind::kDeliver) == nullptr);
  BOOST_TEST(FindKind(actions, flow_action_kind::kRefuse) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_grant_of_a_former_home, peer_fixture) {
  const endpoint caller = CallerOf(kPeer, kJoining);
  ShowFourth();
  const flow_actions actions = Receive(MakeGrant(*this, caller));
  BOOST_TEST(FindKind(actions, flow_action_kind::kDeliver) == nullptr);
  BOOST_REQUIRE(FindMessage(actions, packet_kind::kFromCaller) != nullptr);
  const flow_action& forward = *FindMessage(actions, packet_kind::kFromCaller);
  BOOST_TEST(forward.to == kJoining);
  BOOST_TEST(!forward.header.grant);
}

BOOST_FIXTURE_TEST_CASE(refuses_a_late_grant_of_the_home, peer_fixture) {
  const endpoint caller = CallerOf(kPeer, kPeer);
  ShowFourth();
  packet_header grant = MakeGrant(*this, caller);
  grant.epoch = 7;  // An epoch that this target has not seen.
  const flow_actions actions = Receive(grant);
  BOOST_TEST(FindKind(actions, flow_action_kind::kDeliver) == nullptr);
  BOOST_TEST(FindMessage(actions, packet_kind::kNotHeld)->to == kPeer);
}

BOOST_FIXTURE_TEST_CASE(the_later_placement_stands, peer_fixture) {
  const endpoint caller = CallerOf(kOwn, kOwn);
  BOOST_TEST(FindMessage(ReceiveRegister(caller, kPeer, 10),
                         packet_kind::kRegisterDone)
                 ->header.flows.empty());
  const flow_actions late = ReceiveRegister(caller, kOtherPeer, 5);
  const flow_action* answer = FindMessage(late, packet_kind::kRegisterDone);
  BOOST_REQUIRE(answer->header.flows.size() == 1U);
  BOOST_TEST(answer->header.flows[0].generation == 10U);
  const flow_actions routed =
      Receive(Header(packet_kind::kFromCaller, caller, 0));
  BOOST_TEST(FindMessage(routed, packet_kind::kFromCaller)->to == kPeer);

  const flow_actions newer = ReceiveRegister(caller, kOtherPeer, 11);
  BOOST_TEST(FindMessage(newer, packet_kind::kSuperseded)->to == kPeer);
  const flow_actions rerouted =
      Receive(Header(packet_kind::kFromCaller, caller, 0));
  BOOST_TEST(FindMessage(rerouted, packet_kind::kFromCaller)->to == kOtherPeer);
}

BOOST_FIXTURE_TEST_CASE(a_flow_taken_over_waits_for_its_home, peer_fixture) {
  const endpoint caller = CallerOf(kPeer, kPeer);
  packet_header handover = Header(packet_kind::kHandover, caller, kOtherPeer);
  handover.generation = 101;
  handover.sequence = 4;
  const flow_actions taken = Receive(handover);
  BOOST_REQUIRE(FindKind(taken, flow_action_kind::kImport) != nullptr);
  BOOST_TEST(FindMessage(taken, packet_kind::kHandoverDone) == nullptr);
  const flow_action* registration = FindMessage(taken, packet_kind::kRegister);
  BOOST_REQUIRE(registration != nullptr);
  const flow_actions early =
      Receive(Header(packet_kind::kFromCaller, caller, 0));
  BOOST_TEST(FindKind(early, flow_action_kind::kDeliver) == nullptr);

  packet_header done = Header(packet_kind::kRegisterDone, {}, kPeer);
  done.sequence = registration->header.sequence;
  const flow_actions confirmed = Receive(done);
  BOOST_REQUIRE(FindKind(confirmed, flow_action_kind::kDeliver) != nullptr);
  BOOST_TEST(FindMessage(confirmed, packet_kind::kHandoverDone)->to ==
             kOtherPeer);
  const flow_actions again = Receive(handover);
  BOOST_TEST(FindKind(again, flow_action_kind::kImport) == nullptr);
  BOOST_TEST(FindMessage(again, packet_kind::kHandoverDone) != nullptr);
}

BOOST_FIXTURE_TEST_CASE(a_superseded_flow_is_abandoned, peer_fixture) {
  const endpoint caller = CallerOf(kPeer, kPeer);
  const flow_actions taken = Receive(MakeGrant(*this, caller));
  packet_header done = Header(packet_kind::kRegisterDone, {}, kPeer);
  done.sequence = FindMessage(taken, packet_kind::kRegister)->header.sequence;
  done.flows = {{caller, 200}};
  BOOST_TEST(FindKind(Receive(done), flow_action_kind::kAbandon) != nullptr);
  const flow_actions next =
      Receive(Header(packet_kind::kFromCaller, caller, 0));
  BOOST_TEST(FindMessage(next, packet_kind::kFromCaller)->to == kPeer);
}

}  // namespace
}  // namespace cardamomroute
