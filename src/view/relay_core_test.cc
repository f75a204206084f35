#include "view/relay_core.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "view/node_lease.h"
#include "view/relay_tree.h"
#include "view/view.h"

namespace cardamomroute {
namespace {

constexpr uint64_t kVersion = 9;
constexpr std::size_t kControlVms = 3;

endpoint NodeAddress(std::size_t number) {
  endpoint address;
  address.ip[14] = static_cast<uint8_t>(number >> 8);
  address.ip[15] = static_cast<uint8_t>(number);
  address.port = 7000;
  return address;
}

endpoint ControlAddress(std::size_t number) {
  endpoint address;
  address.ip[0] = 1;
  address.port = static_cast<uint16_t>(1 + number);
  return address;
}

/// Nodes that pull from each other; answers arrive at once or never.
class relay_fleet {
 public:
  relay_fleet(std::size_t nodes, std::size_t max_children) {
    view current;
    current.version = kVersion;
    for (std::size_t i = 0; i < nodes; ++i) {
      target item;
      item.id = i + 1;
      item.agent = NodeAddress(i);
      current.targets.push_back(item);
    }
    std::vector<endpoint> control;
    for (std::size_t i = 0; i < kControlVms; ++i) {
      control.push_back(ControlAddress(i));
      control_.emplace(ControlAddress(i), child_book(max_children));
    }
    const relay_tree tree(current, control, kControlVms * kRelayFanOut);
    for (const target& item : current.targets) {
      member& added = members_[item.agent];
      added.core = std::make_unique<relay_core>(item.agent, max_children);
      added.core->OnTree(tree);
      added.level = tree.LevelOf(item.agent);
    }
  }

  void Kill(const endpoint& node) { members_.erase(node); }
  /// Leaves only nodes that are no relays in the tree.
  void KillRelays() {
    std::size_t last_level = 0;
    for (const auto& [address, item] : members_) {
      last_level = std::max(last_level, item.level);
    }
    for (auto item = members_.begin(); item != members_.end();) {
      item = item->second.level < last_level ? members_.erase(item)
                                             : std::next(item);
    }
  }
  void KillControl(std::size_t number) {
    control_.erase(ControlAddress(number));
  }

  void RunFor(absl::Duration duration) {
    constexpr absl::Duration kStep = absl::Milliseconds(10);
    for (const absl::Time end = now_ + duration; now_ < end; now_ += kStep) {
      for (auto& [address, item] : members_) {
        Pull(address, &item);
      }
    }
  }

  std::size_t CountCutOff() const {
    return static_cast<std::size_t>(std::count_if(
        members_.begin(), members_.end(),
        [&](const auto& entry) { return !entry.second.lease.IsValid(now_); }));
  }

  std::size_t MostChildren() const {
    std::size_t most = 0;
    for (const auto& [address, item] : members_) {
      most = std::max(most, item.core->children());
    }
    for (const auto& [address, children] : control_) {
      most = std::max(most, children.size());
    }
    return most;
  }

  uint64_t NodesInForce() const {
    uint64_t nodes = 0;
    for (const auto& [address, children] : control_) {
      const version_counts sum = children.Sum(now_);
      const auto found = sum.find(kVersion);
      nodes += found != sum.end() ? found->second : 0;
    }
    return nodes;
  }

  std::size_t size() const { return members_.size(); }

 private:
  struct member {
    std::unique_ptr<relay_core> core;
    node_lease lease;
    std::size_t level = 0;
  };

  void Pull(const endpoint& address, member* item) {
    const endpoint parent = item->core->NextPull(now_);
    if (parent == endpoint{}) {
      return;
    }
    const version_counts report = item->core->Report(kVersion, now_);
    relay_answer answer;
    const auto relay = members_.find(parent);
    const auto control = control_.find(parent);
    if (relay != members_.end()) {
      answer = relay->second.core->OnPull(address, report, now_);
    } else if (control != control_.end()) {
      answer.taken = control->second.OnPull(address, report, now_);
      answer.children = control->second.Relays();
      answer.present_version = kVersion;
      answer.age = absl::ZeroDuration();
    } else {
      return;
    }
    const relay_hearing hearing = item->core->OnAnswer(parent, answer, now_);
    if (hearing.is_heard) {
      item->lease.OnHeard(kVersion, hearing.present_version, hearing.asked_at);
    }
  }

  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  std::map<endpoint, member> members_;
  std::map<endpoint, child_book> control_;
};

RC_BOOST_PROP(EveryLiveNodeReachesControlWithinTheBound, (uint64_t seed)) {
  std::mt19937_64 random(seed);
  const std::size_t nodes = 1 + random() % 1000;
  const std::size_t max_children = random() % 2 == 0 ? kRelayFanOut : 6;
  relay_fleet fleet(nodes, max_children);
  fleet.RunFor(absl::Seconds(3));
  RC_ASSERT(fleet.CountCutOff() == 0U);
  RC_ASSERT(fleet.MostChildren() <= max_children);

  const uint64_t dead_percent = random() % 100;
  for (std::size_t i = 0; i < nodes; ++i) {
    if (random() % 100 < dead_percent) {
      fleet.Kill(NodeAddress(i));
    }
  }
  if (random() % 4 == 0) {
    fleet.KillRelays();
  }
  fleet.KillControl(random() % (2 * kControlVms));
  fleet.RunFor(absl::Seconds(12));
  RC_ASSERT(fleet.CountCutOff() == 0U);
  RC_ASSERT(fleet.MostChildren() <= max_children);
  fleet.RunFor(absl::Seconds(3));
  RC_ASSERT(fleet.NodesInForce() == fleet.size());
}

BOOST_AUTO_TEST_CASE(LeavesAParentThatIsCutOffOrBelowIt) {
  const endpoint own = NodeAddress(1);
  const std::vector<endpoint> control = {ControlAddress(0), ControlAddress(1)};
  relay_core core(own, kRelayFanOut);
  core.OnTree(relay_tree(view{}, control, kControlVms * kRelayFanOut));
  absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  const auto pull = [&](absl::Duration age, std::vector<endpoint> path) {
    now += kRelayPullInterval;
    relay_answer answer;
    answer.taken = true;
    answer.present_version = kVersion;
    answer.age = age;
    answer.path = std::move(path);
    const endpoint parent = core.NextPull(now);
    const bool is_heard = core.OnAnswer(parent, answer, now).is_heard;
    BOOST_TEST(is_heard == (core.parent() == parent));
    return is_heard;
  };
  BOOST_TEST(pull(absl::Milliseconds(700), {NodeAddress(2)}));
  BOOST_TEST(!pull(absl::Seconds(3), {NodeAddress(2)}));
  BOOST_TEST(!pull(absl::ZeroDuration(), {NodeAddress(2), own}));
  BOOST_TEST(pull(absl::ZeroDuration(), {}));
}

BOOST_AUTO_TEST_CASE(LevelsOfALargeFleetAreBoundedAndStable) {
  view current;
  for (std::size_t i = 0; i < 20000; ++i) {
    target item;
    item.id = i + 1;
    item.agent = NodeAddress(i);
    current.targets.push_back(item);
  }
  const std::vector<endpoint> control = {ControlAddress(0), ControlAddress(1),
                                         ControlAddress(2)};
  const relay_tree before(current, control, kControlVms * kRelayFanOut);
  BOOST_TEST(before.levels() == 5U);
  current.targets.erase(current.targets.begin() + 777);
  const relay_tree after(current, control, kControlVms * kRelayFanOut);
  std::size_t moved = 0;
  for (std::size_t i = 0; i < 2000; ++i) {
    const std::vector<endpoint> parents = before.ParentsOf(NodeAddress(i));
    BOOST_TEST(parents.size() >= kControlVms);
    moved += parents.front() != after.ParentsOf(NodeAddress(i)).front() ? 1 : 0;
  }
  BOOST_TEST(moved <= kRelayFanOut);
}

BOOST_AUTO_TEST_CASE(WhereBalancersRelayAgentsFindTheirPlaceInAFilteredView) {
  view whole;
  for (std::size_t i = 0; i < 3000; ++i) {
    whole.balancers.push_back({i + 1, "zone", NodeAddress(i)});
  }
  for (std::size_t i = 0; i < 20000; ++i) {
    whole.targets.emplace_back().agent = NodeAddress(10000 + i);
  }
  view filtered = whole;
  filtered.targets.clear();
  const std::vector<endpoint> control = {ControlAddress(0), ControlAddress(1)};
  const relay_tree tree(whole, control, 256);
  const relay_tree seen(filtered, control, 256, whole.targets.size());
  BOOST_TEST(!tree.AgentsRelay());
  BOOST_TEST(!seen.AgentsRelay());
  BOOST_TEST(tree.levels() == 5U);
  for (const target& item : whole.targets) {
    const std::vector<endpoint> parents = tree.ParentsOf(item.agent);
    BOOST_REQUIRE(tree.LevelOf(item.agent) == 4U);
    BOOST_REQUIRE(seen.LevelOf(item.agent) == 4U);
    BOOST_REQUIRE((parents == seen.ParentsOf(item.agent)));
    BOOST_REQUIRE(tree.LevelOf(parents.front()) == 3U);
  }
  whole.balancers.resize(500);
  const relay_tree few(whole, control, 256);
  BOOST_TEST(few.AgentsRelay());
}

BOOST_AUTO_TEST_CASE(LeavesDoNotTakeThePlacesOfRelays) {
  child_book book(4, 2);
  const absl::Time now = absl::FromUnixSeconds(1'800'000'000);
  BOOST_TEST(book.OnPull(NodeAddress(1), {}, now, true));
  BOOST_TEST(book.OnPull(NodeAddress(2), {}, now, true));
  BOOST_TEST(!book.OnPull(NodeAddress(3), {}, now, true));
  BOOST_TEST(book.OnPull(NodeAddress(4), {}, now, false));
  BOOST_TEST(book.OnPull(NodeAddress(5), {}, now, false));
  BOOST_TEST(!book.OnPull(NodeAddress(6), {}, now, false));
  BOOST_TEST(book.Relays().size() == 2U);
  // A relay that becomes a leaf gives up its place.
  BOOST_TEST(!book.OnPull(NodeAddress(5), {}, now, true));
  BOOST_TEST(book.OnPull(NodeAddress(6), {}, now, false));
}

}  // namespace
}  // namespace cardamomroute
