#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/concat.h"
#include "base/metric_recorder.h"
#include "directory/announcer.h"
#include "directory/directory_follower.h"
#include "directory/node_directory.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(recovery_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kStep = absl::Milliseconds(1);

// IP and UDP heads of a datagram.
constexpr size_t kHeadBytes = 28;

/// A deployment whose processes start.
struct shape {
  size_t members = 3;
  size_t agents = 11;
  size_t balancers = 5;
  /// Of a balancer's link, each way.
  double link_bytes_per_second = 250'000;
  /// Of messages, in percent.
  unsigned loss = 1;
  /// Processes start at any time up to this one.
  absl::Duration start_spread = absl::Milliseconds(300);
};

/// Control members, agents and balancers in one thread, with a network that
/// delays and loses and thin links at the balancers.
class starting_site {
 public:
  starting_site(const shape& wanted, uint64_t seed)
      : wanted_(wanted), random_(seed) {
    for (size_t i = 0; i < wanted.members; ++i) {
      seeds_.push_back({0x0a000001 + static_cast<uint32_t>(i), 7720});
    }
    members_.resize(wanted.members);
    agents_.resize(wanted.agents);
    balancers_.resize(wanted.balancers);
  }

  /// All processes start within the spread; members know the agents of before,
  /// as far as `former` says.
  void StartAll(bool former) {
    for (size_t i = 0; i < members_.size(); ++i) {
      At(SomeTime(wanted_.start_spread),
         [this, i, former] { StartMember(i, former ? agents_.size() : 0); });
    }
    for (size_t i = 0; i < agents_.size(); ++i) {
      At(SomeTime(wanted_.start_spread), [this, i] { StartAgent(i); });
    }
    for (size_t i = 0; i < balancers_.size(); ++i) {
      At(SomeTime(wanted_.start_spread), [this, i] { StartBalancer(i); });
    }
  }
  void StartMember(size_t i, size_t former) {
    members_[i] = std::make_unique<node_directory>(1 + random_(), now_);
    std::vector<ipv4_address> named = seeds_;
    members_[i]->OnMembers(named);
    inner::directory_copy copy;
    for (size_t agent = 0; agent < former; ++agent) {
      *copy.add_agents() = Own(agent);
    }
    members_[i]->OnFormer(copy, now_);
    started_ = std::max(started_, now_);
  }
  void StartAgent(size_t i) {
    agents_[i] = std::make_unique<announcer>(
        Own(i), std::vector<ipv4_address>{seeds_.begin(), seeds_.begin() + 3});
    agents_[i]->OnUpstream(upstream_state::kServing, 2);
    started_ = std::max(started_, now_);
  }
  void StartBalancer(size_t i) {
    balancers_[i] = std::make_unique<balancer>(
        std::vector<ipv4_address>{seeds_.begin(), seeds_.begin() + 3},
        random_() | 1);
    started_ = std::max(started_, now_);
  }
  void At(absl::Time due, std::function<void()> run) {
    events_.push({due, ++order_, std::move(run)});
  }
  absl::Time SomeTime(absl::Duration longest) {
    return now_ + absl::Milliseconds(
                      random_() % static_cast<uint64_t>(std::max<int64_t>(
                                      1, absl::ToInt64Milliseconds(longest))));
  }

  /// Lets time pass; `check` is called after each step.
  void Run(absl::Duration length, const std::function<void()>& check = {}) {
    for (const absl::Time end = now_ + length; now_ < end; now_ += kStep) {
      while (!events_.empty() && now_ >= events_.top().due) {
        const std::function<void()> run = events_.top().run;
        events_.pop();
        run();
      }
      for (size_t i = 0; i < agents_.size(); ++i) {
        Announce(i);
      }
      for (size_t i = 0; i < balancers_.size(); ++i) {
        Poll(i);
      }
      if (check) {
        check();
      }
    }
  }

  /// How long after the last start all balancers are ready, and how long until
  /// they take the list for whole.
  absl::Duration ReadyAfter() const {
    return Last(&balancer::ready_at) - started_;
  }
  absl::Duration SettledAfter() const {
    return Last(&balancer::settled_at) - started_;
  }
  /// A balancer takes the list for whole, and an agent whose process runs or
  /// is to come is not in it.
  bool IsAnyMissing() const {
    return std::any_of(
        balancers_.begin(), balancers_.end(), [&](const auto& each) {
          return each != nullptr &&
                 each->follower.SettledAsOf() > absl::InfinitePast() &&
                 each->known < agents_.size();
        });
  }

 private:
  struct event {
    absl::Time due;
    uint64_t order;
    std::function<void()> run;
    friend bool operator<(const event& a, const event& b) {
      return std::tie(b.due, b.order) < std::tie(a.due, a.order);
    }
  };
  struct balancer {
    balancer(std::vector<ipv4_address> seeds, uint64_t seed)
        : follower(std::move(seeds), seed, &measured) {}
    metric_recorder measured{process_role::kBalancer};
    directory_follower follower;
    size_t known = 0;
    absl::Time sends_from;
    absl::Time hears_from;
    absl::Time ready_at = absl::InfiniteFuture();
    absl::Time settled_at = absl::InfiniteFuture();
  };

  absl::Time Last(absl::Time balancer::*moment) const {
    absl::Time last = absl::InfinitePast();
    for (const auto& each : balancers_) {
      last = std::max(last, (*each).*moment);
    }
    return last;
  }

  inner::announcement Own(size_t agent) const {
    inner::announcement own;
    own.set_node(Concat("side-ostrava-a-", agent));
    own.set_incarnation(1'771'972'758'604'827);
    own.set_service(agent % 5 == 0 ? "scan-intake" : "trade-desk");
    own.set_zone(Concat("ostrava-", agent % 6));
    own.set_ip(0x0a010001 + static_cast<uint32_t>(agent));
    own.set_port(7720);
    own.set_state(static_cast<uint32_t>(upstream_state::kServing));
    own.set_slots(2);
    return own;
  }

  absl::Duration Delay() { return absl::Microseconds(1500 + random_() % 1500); }
  bool IsLost() { return random_() % 100 < wanted_.loss; }
  // When a datagram has passed a balancer's link.
  absl::Time Passed(size_t bytes, absl::Time* link) const {
    *link = std::max(*link, now_) +
            absl::Seconds(static_cast<double>(bytes + kHeadBytes) /
                          wanted_.link_bytes_per_second);
    return *link;
  }
  node_directory* MemberAt(const ipv4_address& address) {
    const auto found = std::find(seeds_.begin(), seeds_.end(), address);
    return found != seeds_.end()
               ? members_[static_cast<size_t>(found - seeds_.begin())].get()
               : nullptr;
  }

  void Announce(size_t i) {
    announcer* agent = agents_[i].get();
    if (agent == nullptr || now_ < agent->NextDeadline()) {
      return;
    }
    const auto due = agent->Due(now_);
    if (!due) {
      return;
    }
    for (const ipv4_address& to : due->to) {
      if (IsLost()) {
        continue;
      }
      At(now_ + Delay(), [this, i, to, announced = due->announced] {
        node_directory* member = MemberAt(to);
        if (member == nullptr || IsLost()) {
          return;
        }
        At(now_ + Delay(),
           [this, i, to, answer = member->OnAnnouncement(announced, now_)] {
             agents_[i]->OnAnswer(to, answer, now_);
           });
      });
    }
  }

  void Poll(size_t i) {
    balancer* each = balancers_[i].get();
    if (each == nullptr) {
      return;
    }
    if (now_ >= each->follower.NextDeadline()) {
      for (const due_poll& due : each->follower.Due(now_)) {
        SendPoll(i, due);
      }
    }
    if (const auto latest = each->follower.TakeNewUpstreams()) {
      each->known = latest->size();
    }
    if (each->follower.IsComplete()) {
      each->ready_at = std::min(each->ready_at, now_);
    }
    if (each->follower.SettledAsOf() > absl::InfinitePast()) {
      each->settled_at = std::min(each->settled_at, now_);
    }
  }

  void SendPoll(size_t i, const due_poll& due) {
    const absl::Time passed =
        Passed(due.poll.ByteSizeLong(), &balancers_[i]->sends_from);
    if (IsLost()) {
      return;
    }
    At(passed + Delay(), [this, i, due] {
      node_directory* member = MemberAt(due.to);
      if (member == nullptr || IsLost()) {
        return;
      }
      At(now_ + Delay(),
         [this, i, due, page = member->OnPoll(due.poll, in_force_, now_)] {
           const absl::Time heard =
               Passed(page.ByteSizeLong(), &balancers_[i]->hears_from);
           At(heard, [this, i, due, page] {
             balancers_[i]->follower.OnPage(due.to, page, now_);
           });
         });
    });
  }

  static inner::configuration_record InForce() {
    inner::route_list list;
    for (int i = 0; i < 50; ++i) {
      inner::route_record* route = list.add_routes();
      route->set_name(Concat("r-3d3zji9", i));
      route->set_host(0xc6120001);
      route->set_port(static_cast<uint32_t>(i));
      route->set_timeout_ms(1500);
      inner::route_share* share = route->add_shares();
      share->set_service("trade-desk");
      share->set_weight(1);
    }
    inner::configuration_record record;
    record.set_version(9);
    record.set_routes(list.SerializeAsString());
    return record;
  }

  const shape wanted_;
  std::mt19937_64 random_;
  absl::Time now_ = kStart;
  absl::Time started_ = kStart;
  uint64_t order_ = 0;
  std::priority_queue<event> events_;
  std::vector<ipv4_address> seeds_;
  std::vector<std::unique_ptr<node_directory>> members_;
  std::vector<std::unique_ptr<announcer>> agents_;
  std::vector<std::unique_ptr<balancer>> balancers_;
  const inner::configuration_record in_force_ = InForce();
};

/// Checks each moment of the first two seconds. Without a copy of the list
/// power was lost, and upstreams have no flows that could be missed.
void CheckStart(const shape& wanted, bool former, uint64_t seed,
                absl::Duration ready_within, absl::Duration settled_within) {
  starting_site site(wanted, seed);
  site.StartAll(former);
  bool is_missing = false;
  site.Run(absl::Seconds(2),
           [&] { is_missing = is_missing || site.IsAnyMissing(); });
  BOOST_TEST_MESSAGE(Concat(
      wanted.agents, " agents, seed ", seed, ": ready after ",
      absl::ToInt64Milliseconds(site.ReadyAfter()), " ms, settled after ",
      absl::ToInt64Milliseconds(site.SettledAfter()), " ms"));
  BOOST_TEST((!former || !is_missing));
  BOOST_TEST((site.ReadyAfter() <= ready_within));
  BOOST_TEST((site.SettledAfter() <= settled_within));
}

// Pattern: all stop and start again. Callers can be served within half a second
// of the start: balancers know routes and upstreams, and callers of lost flows
// are told.
BOOST_AUTO_TEST_CASE(ASmallSiteIsSettledHalfASecondAfterAnAllStop) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    CheckStart({}, seed % 2 == 0, seed, absl::Milliseconds(300),
               absl::Milliseconds(500));
  }
}

// The same with 91 balancers on links of 2 Mbit/s before 204 agents.
BOOST_AUTO_TEST_CASE(ALargeSiteIsSettledHalfASecondAfterAnAllStop) {
  shape large;
  large.members = 5;
  large.agents = 204;
  large.balancers = 91;
  for (uint64_t seed = 1; seed <= 2; ++seed) {
    CheckStart(large, seed % 2 == 0, seed, absl::Milliseconds(300),
               absl::Milliseconds(500));
  }
}

// Pattern: all are killed; agents are back up to 0.7 s later than the rest, and
// their upstreams have lived on. No list is whole without them.
BOOST_AUTO_TEST_CASE(AgentsThatAreBackLateAreNotMissing) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    shape wanted;
    wanted.agents = 54;
    starting_site site(wanted, seed);
    for (size_t i = 0; i < wanted.members; ++i) {
      site.StartMember(i, wanted.agents);
    }
    for (size_t i = 0; i < wanted.balancers; ++i) {
      site.StartBalancer(i);
    }
    for (size_t i = 0; i < wanted.agents; ++i) {
      site.At(site.SomeTime(absl::Milliseconds(700)),
              [&site, i] { site.StartAgent(i); });
    }
    bool is_missing = false;
    site.Run(absl::Seconds(2),
             [&] { is_missing = is_missing || site.IsAnyMissing(); });
    BOOST_TEST(!is_missing);
  }
}

// Pattern: members and balancers are killed, with no copy of the list, as after
// a loss of power; agents go on and announce themselves at the interval.
BOOST_AUTO_TEST_CASE(AgentsThatGoOnAreNotMissing) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    shape wanted;
    wanted.agents = 54;
    starting_site site(wanted, seed);
    site.StartAll(false);
    site.Run(absl::Seconds(2));
    const absl::Time killed = site.SomeTime(kAnnouncementInterval);
    bool is_missing = false;
    const auto check = [&] { is_missing = is_missing || site.IsAnyMissing(); };
    site.At(killed, [&] {
      for (size_t i = 0; i < wanted.members; ++i) {
        site.StartMember(i, 0);
      }
      for (size_t i = 0; i < wanted.balancers; ++i) {
        site.StartBalancer(i);
      }
    });
    site.Run(absl::Seconds(2), check);
    BOOST_TEST(!is_missing);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
