#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/metric_recorder.h"
#include "directory/announcer.h"
#include "directory/directory_follower.h"
#include "directory/node_directory.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(directory_test)

constexpr absl::Time kStart = absl::UnixEpoch();
// The smallest MTU of IPv6 (RFC 8200, section 5).
constexpr size_t kLongestDatagram = 1280;
constexpr ipv4_address kMember{0x0a000001, 7720};
constexpr ipv4_address kOtherMember{0x0a000002, 7720};

inner::announcement Announced(uint32_t agent, uint64_t incarnation,
                              uint64_t sequence, upstream_state state) {
  inner::announcement announced;
  announced.set_node(Concat("node-", agent));
  announced.set_incarnation(incarnation);
  announced.set_sequence(sequence);
  announced.set_service("desk");
  announced.set_zone("a");
  announced.set_ip(agent);
  announced.set_port(7720);
  announced.set_state(static_cast<uint32_t>(state));
  announced.set_slots(2);
  return announced;
}

inner::configuration_record Configuration(uint64_t version, size_t routes) {
  inner::route_list list;
  for (size_t i = 0; i < routes; ++i) {
    inner::route_record* route = list.add_routes();
    route->set_name(Concat("route-", i));
    route->set_port(static_cast<uint32_t>(i));
  }
  inner::configuration_record record;
  record.set_version(version);
  record.set_routes(list.SerializeAsString());
  return record;
}

/// A member that starts now, with an empty disk.
node_directory NewMember(uint64_t run, absl::Time now) {
  node_directory member(run, now);
  member.OnFormer({}, now);
  return member;
}

/// Members of a group and a balancer that follows them.
struct fixture {
  // Answers what the balancer asks, over and over, for so long.
  void Run(absl::Duration length) {
    const absl::Time end = now + length;
    while (now < end) {
      for (const due_poll& due : follower.Due(now)) {
        const auto asked = members.find(due.to);
        if (asked != members.end()) {
          follower.OnPage(due.to, asked->second.OnPoll(due.poll, in_force, now),
                          now);
        }
      }
      now += absl::Milliseconds(10);
    }
  }
  void Announce(const ipv4_address& member,
                const inner::announcement& announced) {
    members.at(member).OnAnnouncement(announced, now);
  }
  bool IsSettled() const {
    return follower.SettledAsOf() > absl::InfinitePast();
  }
  std::vector<known_upstream> Known() {
    if (auto latest = follower.TakeNewUpstreams()) {
      known = *latest;
    }
    return known;
  }

  absl::Time now = kStart;
  std::map<ipv4_address, node_directory> members = {
      {kMember, NewMember(1, kStart)}};
  inner::configuration_record in_force = Configuration(1, 2);
  metric_recorder measured{process_role::kBalancer};
  directory_follower follower{{kMember, kOtherMember}, 4, &measured};
  std::vector<known_upstream> known;
};

// A choked link shows in the metrics.
BOOST_FIXTURE_TEST_CASE(AnswersThatComeLateAreCounted, fixture) {
  const std::vector<due_poll> asked = follower.Due(now);
  now += kFirstPollTimeout;
  follower.Due(now);
  for (const due_poll& due : asked) {
    follower.OnPage(due.to, members.at(kMember).OnPoll(due.poll, {}, now), now);
  }
  BOOST_TEST(
      ToJson(
          measured.registry().Values())["counters"]["control_answers_late"] ==
      asked.size());
}

// Issue 21, pattern: a choked link, on which answers take longer than a poll is
// awaited, made control seem lost.
BOOST_FIXTURE_TEST_CASE(AnswersThatComeLateCount, fixture) {
  constexpr absl::Duration kDelay = absl::Seconds(1);
  std::deque<std::pair<absl::Time, inner::directory_page>> answers;
  in_force = Configuration(9, 20);
  Announce(kMember, Announced(1, 1, 1, upstream_state::kServing));
  const absl::Time end = now + absl::Seconds(10);
  while (now < end) {
    for (const due_poll& due : follower.Due(now)) {
      if (due.to == kMember) {
        answers.emplace_back(
            now + kDelay, members.at(kMember).OnPoll(due.poll, in_force, now));
      }
    }
    while (!answers.empty() && now >= answers.front().first) {
      follower.OnPage(kMember, answers.front().second, now);
      answers.pop_front();
    }
    now += absl::Milliseconds(10);
  }
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(follower.routes_version() == 9U);
  BOOST_TEST(IsSettled());
}

BOOST_FIXTURE_TEST_CASE(ABalancerGetsAllRoutesAndUpstreams, fixture) {
  in_force = Configuration(9, 350);
  for (uint32_t agent = 1; agent <= 60; ++agent) {
    Announce(kMember, Announced(agent, 1, 1, upstream_state::kServing));
  }
  BOOST_TEST(!follower.IsComplete());
  Run(absl::Seconds(1));
  BOOST_TEST(follower.IsComplete());
  const followed_routes* routes = follower.TakeNewRoutes();
  BOOST_REQUIRE(routes != nullptr);
  BOOST_TEST(routes->version == 9U);
  BOOST_TEST(routes->list.routes_size() == 350);
  BOOST_TEST(follower.TakeNewRoutes() == nullptr);
  BOOST_TEST(Known().size() == 60U);
}

BOOST_FIXTURE_TEST_CASE(PagesFitADatagram, fixture) {
  in_force = Configuration(9, 350);
  for (uint32_t agent = 1; agent <= 60; ++agent) {
    Announce(kMember, Announced(agent, 1, 1, upstream_state::kServing));
  }
  inner::directory_poll poll;
  const auto page = members.at(kMember).OnPoll(poll, in_force, now);
  BOOST_TEST(page.ByteSizeLong() <= kLongestDatagram);
  BOOST_TEST(page.more());
  // A balancer that has the routes gets more upstreams in their place.
  poll.set_configuration_version(in_force.version());
  const auto without_routes = members.at(kMember).OnPoll(poll, in_force, now);
  BOOST_TEST(without_routes.ByteSizeLong() <= kLongestDatagram);
  BOOST_TEST(without_routes.upstreams_size() > page.upstreams_size());
}

// Names that many upstreams share stand once in a page.
BOOST_FIXTURE_TEST_CASE(UpstreamsComeWithTheirServiceAndZone, fixture) {
  for (uint32_t agent = 1; agent <= 60; ++agent) {
    inner::announcement announced =
        Announced(agent, 1, 1, upstream_state::kServing);
    announced.set_service(Concat("service-", agent % 3));
    announced.set_zone(agent % 2 == 0 ? "" : "zone-of-a-long-name");
    Announce(kMember, announced);
  }
  Run(absl::Seconds(1));
  const std::vector<known_upstream> known = Known();
  BOOST_REQUIRE(known.size() == 60U);
  for (const known_upstream& item : known) {
    BOOST_TEST(item.service == Concat("service-", item.agent.ip % 3));
    BOOST_TEST(item.zone ==
               (item.agent.ip % 2 == 0 ? "" : "zone-of-a-long-name"));
  }
}

// A member that lags or has started again says less than is known.
BOOST_FIXTURE_TEST_CASE(RoutesNeverGoBack, fixture) {
  in_force = Configuration(9, 3);
  Run(absl::Seconds(1));
  in_force = Configuration(7, 1);
  members.at(kMember) = NewMember(2, now);
  Run(absl::Seconds(1));
  BOOST_TEST(follower.routes_version() == 9U);
}

BOOST_FIXTURE_TEST_CASE(AChangeWhileRoutesComeInBeginsAnew, fixture) {
  in_force = Configuration(2, 350);
  const due_poll first = follower.Due(now).front();
  follower.OnPage(first.to,
                  members.at(kMember).OnPoll(first.poll, in_force, now), now);
  in_force = Configuration(3, 200);
  Run(absl::Seconds(1));
  const followed_routes* routes = follower.TakeNewRoutes();
  BOOST_REQUIRE(routes != nullptr);
  BOOST_TEST(routes->version == 3U);
  BOOST_TEST(routes->list.routes_size() == 200);
}

/// Guards against a balancer that stays on an old version for as long as
/// changes come faster than all pieces of one: it began anew at each change.
BOOST_FIXTURE_TEST_CASE(RoutesComeInWhileTheyChange, fixture) {
  Run(absl::Seconds(1));
  // Longer than the bound in which a change has to reach balancers.
  constexpr int kChanges = 24;
  constexpr absl::Duration kPause = absl::Milliseconds(330);
  constexpr uint64_t kMostBehind = 9;  // 3 s
  for (uint64_t version = 2; version < 2 + kChanges; ++version) {
    // A page each 10 ms: one version takes longer than the pause.
    in_force = Configuration(version, 1800);
    Run(kPause);
    BOOST_TEST(follower.routes_version() + kMostBehind >= version);
  }
  Run(absl::Seconds(3));
  BOOST_TEST(follower.routes_version() == in_force.version());
  BOOST_TEST(follower.TakeNewRoutes()->list.routes_size() == 1800);
}

/// A version that no member has any more is given up for a newer one.
BOOST_FIXTURE_TEST_CASE(APartThatNoMemberCanCompleteIsGivenUp, fixture) {
  Run(absl::Seconds(1));
  in_force = Configuration(2, 1800);
  Run(absl::Milliseconds(100));
  members.at(kMember) = NewMember(2, now);
  in_force = Configuration(3, 40);
  Run(kPartialRoutesTimeout + absl::Milliseconds(500));
  BOOST_TEST(follower.routes_version() == 3U);
}

/// Balancers that ask for ever more versions do not make a member hold them.
BOOST_FIXTURE_TEST_CASE(ReplacedRoutesAreHeldForAWhileOnly, fixture) {
  node_directory& member = members.at(kMember);
  in_force = Configuration(2, 200);
  inner::directory_poll poll;
  const inner::directory_page piece = member.OnPoll(poll, in_force, now);
  poll.set_partial_version(2);
  poll.set_partial_bytes(static_cast<uint32_t>(piece.routes().size()));
  in_force = Configuration(3, 200);
  BOOST_TEST(member.OnPoll(poll, in_force, now).configuration_version() == 2U);
  now += kReplacedRoutesLife;
  const inner::directory_page later = member.OnPoll(poll, in_force, now);
  BOOST_TEST(later.configuration_version() == 3U);
  BOOST_TEST(later.routes_offset() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AnAgentThatCeasesIsSilentThenGone, fixture) {
  Announce(kMember, Announced(1, 1, 1, upstream_state::kServing));
  Run(absl::Milliseconds(500));
  BOOST_REQUIRE(Known().size() == 1U);
  BOOST_TEST(!Known()[0].silent);
  Run(absl::Seconds(2));
  BOOST_REQUIRE(Known().size() == 1U);
  BOOST_TEST(Known()[0].silent);
  Run(kSilentLife);
  BOOST_TEST(Known().empty());
}

BOOST_FIXTURE_TEST_CASE(AnAgentThatLeavesIsGoneAtOnce, fixture) {
  Announce(kMember, Announced(1, 1, 1, upstream_state::kServing));
  Run(absl::Milliseconds(500));
  inner::announcement last = Announced(1, 1, 2, upstream_state::kAbsent);
  last.set_leaving(true);
  Announce(kMember, last);
  Run(absl::Milliseconds(500));
  BOOST_TEST(Known().empty());
  // Its address is used again.
  Announce(kMember, Announced(1, 2, 1, upstream_state::kServing));
  Run(absl::Milliseconds(500));
  BOOST_TEST(Known().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ALateAnnouncementChangesNothing, fixture) {
  Announce(kMember, Announced(1, 5, 9, upstream_state::kDraining));
  Announce(kMember, Announced(1, 5, 8, upstream_state::kServing));
  Announce(kMember, Announced(1, 4, 99, upstream_state::kServing));
  Run(absl::Milliseconds(500));
  BOOST_REQUIRE(Known().size() == 1U);
  BOOST_TEST((Known()[0].state == upstream_state::kDraining));
}

// One member cannot reach the agent, or is out of reach itself.
BOOST_FIXTURE_TEST_CASE(WhatOneMemberHasHeardCounts, fixture) {
  members.emplace(kOtherMember, NewMember(3, kStart));
  Announce(kMember, Announced(1, 1, 1, upstream_state::kServing));
  Announce(kOtherMember, Announced(1, 1, 1, upstream_state::kServing));
  uint64_t sequence = 1;
  for (int i = 0; i < 10; ++i) {
    Announce(kOtherMember,
             Announced(1, 1, ++sequence, upstream_state::kServing));
    Run(absl::Milliseconds(400));
  }
  BOOST_REQUIRE(Known().size() == 1U);
  BOOST_TEST(!Known()[0].silent);
  members.erase(kOtherMember);
  Run(absl::Seconds(3));
  BOOST_TEST(Known()[0].silent);
}

BOOST_FIXTURE_TEST_CASE(AYoungMemberIsNoAuthority, fixture) {
  now = kStart;
  members.at(kMember) = NewMember(7, now);
  Run(absl::Milliseconds(60));
  BOOST_TEST(!follower.IsComplete());
  Run(absl::Milliseconds(180));
  BOOST_TEST(follower.IsComplete());
  BOOST_TEST(!IsSettled());
  Run(absl::Seconds(2));
  BOOST_TEST(IsSettled());
}

// Pattern: all have stopped, and callers of flows that are lost wait until the
// list is settled.
BOOST_FIXTURE_TEST_CASE(TwoYoungMembersAreSettledSoonerThanOne, fixture) {
  now = kStart;
  members.at(kMember) = NewMember(7, now);
  members.emplace(kOtherMember, NewMember(3, now));
  Run(kSettledAgeOfTwo - absl::Milliseconds(50));
  BOOST_TEST(!IsSettled());
  Run(absl::Milliseconds(150));
  BOOST_TEST(IsSettled());
}

// Pattern: all are killed, and an agent whose upstream lives is back later than
// the others. Its flows are not taken for lost while it may still come.
BOOST_FIXTURE_TEST_CASE(AFormerAgentIsSilentUntilItAnnouncesItself, fixture) {
  Announce(kMember, Announced(1, 1, 1, upstream_state::kServing));
  Announce(kMember, Announced(2, 1, 1, upstream_state::kServing));
  const inner::directory_copy former = members.at(kMember).Copy();
  BOOST_TEST(former.agents_size() == 2);
  members.at(kMember) = node_directory(7, now);
  members.at(kMember).OnFormer(former, now);
  Announce(kMember, Announced(1, 2, 1, upstream_state::kServing));
  Run(kSettledAge);
  BOOST_REQUIRE(Known().size() == 2U);
  BOOST_TEST(!Known()[0].silent);
  BOOST_TEST(Known()[1].silent);
  Announce(kMember, Announced(2, 2, 1, upstream_state::kServing));
  Run(absl::Milliseconds(100));
  BOOST_TEST(!Known()[1].silent);
  Run(kFormerAgentLife);
  BOOST_TEST(Known().size() == 2U);
}

// One that was taken away meanwhile holds nobody up for longer.
BOOST_FIXTURE_TEST_CASE(AFormerAgentThatStaysAwayIsGone, fixture) {
  inner::directory_copy former;
  *former.add_agents() = Announced(1, 1, 1, upstream_state::kServing);
  members.at(kMember) = node_directory(7, now);
  members.at(kMember).OnFormer(former, now);
  Run(kFormerAgentLife - absl::Milliseconds(100));
  BOOST_TEST(Known().size() == 1U);
  Run(absl::Milliseconds(500));
  BOOST_TEST(Known().empty());
  BOOST_TEST(members.at(kMember).Copy().agents_size() == 0);
}

// The disk may hang.
BOOST_FIXTURE_TEST_CASE(AListIsNotSettledBeforeFormerAgentsAreKnown, fixture) {
  members.at(kMember) = node_directory(7, now);
  Run(kSettledAge + absl::Milliseconds(100));
  BOOST_TEST(!IsSettled());
  Run(kFormerAgentLife);
  BOOST_TEST(IsSettled());
  // Too late to matter.
  inner::directory_copy former;
  *former.add_agents() = Announced(1, 1, 1, upstream_state::kServing);
  members.at(kMember).OnFormer(former, now);
  Run(absl::Seconds(1));
  BOOST_TEST(Known().empty());
}

// Guards against resets of flows at upstreams that other balancers have heard
// of meanwhile.
BOOST_FIXTURE_TEST_CASE(AListIsSettledAsOfItsLastAnswer, fixture) {
  Run(absl::Seconds(3));
  const absl::Time answered = follower.SettledAsOf();
  BOOST_TEST(now - answered <= kPollInterval + absl::Milliseconds(10));
  members.erase(kMember);
  Run(absl::Seconds(1));
  BOOST_TEST(now - follower.SettledAsOf() >= absl::Seconds(1));
  Run(kMemberSay);
  BOOST_TEST(!IsSettled());
}

// The same where an announcement has reached one member only, whose answers
// take longer.
BOOST_FIXTURE_TEST_CASE(AListIsNotSettledBeforeEachMemberHasAnswered, fixture) {
  constexpr absl::Duration kDelay = absl::Milliseconds(100);
  members.emplace(kOtherMember, NewMember(3, now));
  Run(absl::Seconds(3));
  const absl::Time began = now;
  Announce(kOtherMember, Announced(9, 1, 1, upstream_state::kServing));
  std::deque<std::pair<absl::Time, inner::directory_page>> late;
  while (follower.SettledAsOf() < began) {
    for (const due_poll& due : follower.Due(now)) {
      const inner::directory_page page =
          members.at(due.to).OnPoll(due.poll, in_force, now);
      if (due.to == kOtherMember) {
        late.emplace_back(now + kDelay, page);
      } else {
        follower.OnPage(due.to, page, now);
      }
    }
    while (!late.empty() && now >= late.front().first) {
      follower.OnPage(kOtherMember, late.front().second, now);
      late.pop_front();
    }
    now += absl::Milliseconds(10);
    BOOST_REQUIRE(now < began + absl::Seconds(2));
  }
  BOOST_TEST(Known().size() == 1U);
}

// Pattern: callers of lost flows come back by and by. A search that every agent
// has denied needs a list that was asked for after it began, and does not wait
// for the next poll of each member.
BOOST_FIXTURE_TEST_CASE(AListThatIsWantedIsAskedForAtOnce, fixture) {
  members.emplace(kOtherMember, NewMember(3, now));
  Run(absl::Seconds(3));
  for (int i = 0; i < 20; ++i) {
    Run(absl::Milliseconds(70));
    const absl::Time wanted = now;
    follower.Refresh(wanted);
    Run(absl::Milliseconds(20));
    BOOST_TEST(follower.SettledAsOf() >= wanted);
  }
}

// Links are thin, and searches may begin at any time.
BOOST_FIXTURE_TEST_CASE(WantedListsAreAskedForInTurn, fixture) {
  members.emplace(kOtherMember, NewMember(3, now));
  Run(absl::Seconds(3));
  size_t polls = 0;
  const absl::Time end = now + absl::Seconds(1);
  for (; now < end; now += absl::Milliseconds(1)) {
    follower.Refresh(now);
    for (const due_poll& due : follower.Due(now)) {
      follower.OnPage(due.to,
                      members.at(due.to).OnPoll(due.poll, in_force, now), now);
      ++polls;
    }
  }
  BOOST_TEST(polls <= members.size() * static_cast<size_t>(absl::Seconds(1) /
                                                           kRefreshInterval));
}

// A member that is away is not asked more often for it.
BOOST_FIXTURE_TEST_CASE(AWantedListDoesNotHurryAMemberThatIsAway, fixture) {
  Run(absl::Seconds(3));
  const absl::Time end = now + absl::Seconds(1);
  size_t polls = 0;
  for (; now < end; now += absl::Milliseconds(1)) {
    follower.Refresh(now);
    for (const due_poll& due : follower.Due(now)) {
      polls += due.to == kMember ? 1 : 0;
    }
  }
  BOOST_TEST(polls <= static_cast<size_t>(absl::Seconds(1) / kPollTimeout) + 2);
}

BOOST_FIXTURE_TEST_CASE(AnswersThatWereNotAskedForAreIgnored, fixture) {
  inner::directory_page page;
  page.set_configuration_version(99);
  follower.OnPage(kMember, page, now);
  Run(absl::Seconds(1));
  follower.OnPage({9, 9}, page, now);
  BOOST_TEST(follower.routes_version() == 1U);
}

// Whatever is announced, lost and repeated, the balancer knows in the end what
// was announced last.
RC_BOOST_PROP(ABalancerEndsWithWhatWasAnnouncedLast, ()) {
  fixture site;
  std::map<uint32_t, inner::announcement> last;
  uint64_t sequence = 1;
  for (int i = 0; i < 40; ++i) {
    const auto agent = *rc::gen::inRange<uint32_t>(1, 20);
    const auto state =
        static_cast<upstream_state>(*rc::gen::inRange<int>(0, 3));
    const auto incarnation = *rc::gen::inRange<uint64_t>(1, 4);
    const inner::announcement announced =
        Announced(agent, incarnation, ++sequence, state);
    site.Announce(kMember, announced);
    const auto known = last.find(agent);
    if (known == last.end() || incarnation >= known->second.incarnation()) {
      last[agent] = announced;
    }
    if (*rc::gen::inRange(0, 8) == 0) {
      site.Run(absl::Milliseconds(*rc::gen::inRange(1, 100)));
    }
  }
  site.Run(absl::Milliseconds(600));
  const std::vector<known_upstream> known = site.Known();
  RC_ASSERT(known.size() == last.size());
  for (const known_upstream& item : known) {
    RC_ASSERT(static_cast<uint32_t>(item.state) ==
              last.at(item.agent.ip).state());
  }
}

/// An agent's announcements, and members that answer them or are away.
struct announcing {
  /// Tells the members what is due at each moment of `length`, and counts what
  /// was sent to each.
  void Run(absl::Duration length) {
    sent.clear();
    for (const absl::Time end = now + length; now < end;
         now += absl::Milliseconds(1)) {
      const auto due = own.Due(now);
      if (!due) {
        continue;
      }
      for (const ipv4_address& member : due->to) {
        ++sent[member];
        latest[member] = due->announced;
        if (answers[member]) {
          Answer(member, due->announced);
        }
      }
    }
  }
  void Answer(const ipv4_address& member,
              const inner::announcement& announced) {
    inner::announcement_answer answer;
    answer.set_incarnation(announced.incarnation());
    answer.set_sequence(announced.sequence());
    for (const ipv4_address& each : {kMember, kOtherMember}) {
      inner::control_address* named = answer.add_members();
      named->set_ip(each.ip);
      named->set_port(each.port);
    }
    own.OnAnswer(member, answer, now);
  }

  absl::Time now = kStart;
  announcer own{Announced(1, 1, 0, upstream_state::kAbsent), {kMember}};
  std::map<ipv4_address, bool> answers = {{kMember, true},
                                          {kOtherMember, true}};
  std::map<ipv4_address, int> sent;
  std::map<ipv4_address, inner::announcement> latest;
};

BOOST_FIXTURE_TEST_CASE(AnAgentAnnouncesChangesAtOnce, announcing) {
  Run(absl::Milliseconds(10));
  BOOST_TEST(sent[kMember] == 1);
  // It was named by the first answer.
  BOOST_TEST(sent[kOtherMember] == 1);
  Run(absl::Milliseconds(150));
  BOOST_TEST(sent.empty());
  own.OnUpstream(upstream_state::kServing, 2);
  Run(absl::Milliseconds(1));
  BOOST_TEST(sent[kMember] == 1);
  BOOST_TEST(sent[kOtherMember] == 1);
  BOOST_TEST(latest[kMember].state() ==
             static_cast<uint32_t>(upstream_state::kServing));
  Run(10 * kAnnouncementInterval);
  BOOST_TEST(sent[kMember] == 10);
}

// Pattern: all have stopped, and members of control start one after the other.
// Each of them is to know all agents soon, whichever has answered before.
BOOST_FIXTURE_TEST_CASE(AMemberThatIsBackHearsOfAnAgentSoon, announcing) {
  Run(absl::Seconds(3));
  answers[kOtherMember] = false;
  Run(3 * kAnnouncementInterval + absl::Milliseconds(10));
  BOOST_TEST(sent[kMember] <= 4);
  latest.erase(kOtherMember);
  answers[kOtherMember] = true;
  Run(kAnnouncementTimeout + absl::Milliseconds(1));
  BOOST_TEST(latest.count(kOtherMember) == 1U);
}

// A change that was lost on the way is told again soon.
BOOST_FIXTURE_TEST_CASE(AChangeThatWasLostIsRepeatedSoon, announcing) {
  Run(absl::Seconds(1));
  const inner::announcement before = latest[kMember];
  answers[kMember] = false;
  own.OnUpstream(upstream_state::kDraining, 2);
  Run(absl::Milliseconds(1));
  // A late answer to what was said before does not acknowledge it.
  Answer(kMember, before);
  Run(kAnnouncementTimeout + absl::Milliseconds(1));
  BOOST_TEST(sent[kMember] == 1);
}

// A member that is gone for good is no reason to send more than usual.
BOOST_FIXTURE_TEST_CASE(AMemberThatStaysAwayIsToldAtTheInterval, announcing) {
  Run(absl::Seconds(1));
  answers[kOtherMember] = false;
  Run(kQuickAnnouncements + kAnnouncementInterval);
  Run(10 * kAnnouncementInterval);
  BOOST_TEST(sent[kOtherMember] <= 11);
  BOOST_TEST(sent[kMember] <= 11);
}

BOOST_AUTO_TEST_CASE(ContactsAreSeedsAndThoseNamedLately) {
  control_contacts contacts({kMember});
  control_contacts::named_members named;
  inner::control_address* other = named.Add();
  other->set_ip(kOtherMember.ip);
  other->set_port(kOtherMember.port);
  contacts.OnNamed(named, kStart);
  BOOST_TEST(contacts.All(kStart).size() == 2U);
  contacts.OnSeeds({{7, 7}});
  const std::vector<ipv4_address> expected = {{7, 7}, kOtherMember};
  BOOST_TEST((contacts.All(kStart) == expected));
  BOOST_TEST(contacts.All(kStart + kContactLife).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
