#include "load/relay_model.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "view/child_book.h"
#include "view/relay_core.h"
#include "view/relay_tree.h"
#include "view/view.h"

namespace cardamomroute::load {
namespace {

constexpr absl::Duration kStep = absl::Milliseconds(5);
constexpr absl::Duration kPatience = absl::Seconds(30);

endpoint NodeAddress(std::size_t number) {
  endpoint address;
  address.ip[13] = static_cast<uint8_t>(number >> 16);
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

double MillisecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

class relay_model {
 public:
  relay_model(std::size_t balancers, std::size_t agents,
              std::size_t control_vms, uint64_t seed) {
    const std::size_t nodes = balancers + agents;
    view current;
    for (std::size_t i = 0; i < balancers; ++i) {
      current.balancers.push_back({i + 1, "zone", NodeAddress(i)});
    }
    for (std::size_t i = balancers; i < nodes; ++i) {
      target item;
      item.id = i + 1;
      item.agent = NodeAddress(i);
      current.targets.push_back(item);
    }
    std::vector<endpoint> control;
    for (std::size_t i = 0; i < control_vms; ++i) {
      control.push_back(ControlAddress(i));
      control_.emplace(control.back(), control_vm{});
    }
    auto start = std::chrono::steady_clock::now();
    const relay_tree tree(current, control, control_vms * kRelayFanOut);
    outcome_.tree_build_ms = MillisecondsSince(start);
    outcome_.levels = tree.levels();
    std::mt19937_64 random(seed);
    start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < nodes; ++i) {
      members_.emplace_back(NodeAddress(i),
                            i >= balancers && !tree.AgentsRelay());
      members_.back().core.OnTree(tree);
      members_.back().starts_at =
          now_ +
          kRelayPullInterval * (static_cast<double>(random() % 100) / 100);
      index_[NodeAddress(i)] = i;
    }
    outcome_.parents_us =
        1000 * MillisecondsSince(start) / static_cast<double>(nodes);
  }

  relay_outcome Run() {
    outcome_.pull_interval_ms = absl::ToDoubleMilliseconds(kRelayPullInterval);
    outcome_.settle_ms = RunUntilAllHeard();
    ++version_;
    heard_ = 0;
    CountPulls();
    const absl::Time changed_at = now_;
    outcome_.in_force_ms = RunUntilAllHeard();
    RunUntil(changed_at + absl::Seconds(5));
    ReportPulls(absl::ToDoubleSeconds(now_ - changed_at));
    return outcome_;
  }

 private:
  struct member {
    member(const endpoint& own, bool takes_no_children)
        : address(own), is_leaf(takes_no_children), core(own, kRelayFanOut) {}
    endpoint address;
    bool is_leaf;
    relay_core core;
    absl::Time starts_at;
    uint64_t version = 0;
    uint64_t pulls = 0;
  };
  struct control_vm {
    child_book children{kRelayFanOut, kRelayFanOut / 2};
    uint64_t pulls = 0;
  };

  double RunUntilAllHeard() {
    const absl::Time start = now_;
    while (heard_ < members_.size() && now_ < start + kPatience) {
      Step();
    }
    return absl::ToDoubleMilliseconds(now_ - start);
  }

  void RunUntil(absl::Time end) {
    while (now_ < end) {
      Step();
    }
  }

  void Step() {
    now_ += kStep;
    heard_ = 0;
    for (member& item : members_) {
      if (now_ >= item.starts_at) {
        Pull(&item);
      }
      heard_ += item.version == version_ ? 1 : 0;
    }
  }

  void Pull(member* item) {
    const endpoint parent = item->core.NextPull(now_);
    if (parent == endpoint{}) {
      return;
    }
    const version_counts report = item->core.Report(item->version, now_);
    relay_answer answer;
    const auto control = control_.find(parent);
    if (control != control_.end()) {
      ++control->second.pulls;
      answer.taken = control->second.children.OnPull(item->address, report,
                                                     now_, item->is_leaf);
      answer.children = control->second.children.Relays();
      answer.present_version = version_;
      answer.age = absl::ZeroDuration();
    } else {
      member& relay = members_[index_.at(parent)];
      ++relay.pulls;
      if (!relay.is_leaf) {
        answer = relay.core.OnPull(item->address, report, now_, item->is_leaf);
      }
    }
    const relay_hearing hearing = item->core.OnAnswer(parent, answer, now_);
    if (hearing.is_heard) {
      item->version = std::max(item->version, hearing.present_version);
    }
  }

  void CountPulls() {
    for (member& item : members_) {
      item.pulls = 0;
    }
    for (auto& [address, item] : control_) {
      item.pulls = 0;
    }
  }

  void ReportPulls(double seconds) {
    for (const member& item : members_) {
      outcome_.most_children =
          std::max(outcome_.most_children, item.core.children());
      outcome_.most_pulls_per_s = std::max(
          outcome_.most_pulls_per_s, static_cast<double>(item.pulls) / seconds);
    }
    for (const auto& [address, item] : control_) {
      outcome_.most_children_of_control =
          std::max(outcome_.most_children_of_control, item.children.size());
      outcome_.most_control_pulls_per_s =
          std::max(outcome_.most_control_pulls_per_s,
                   static_cast<double>(item.pulls) / seconds);
      const version_counts sum = item.children.Sum(now_);
      const auto found = sum.find(version_);
      outcome_.nodes_counted += found != sum.end() ? found->second : 0;
    }
  }

  relay_outcome outcome_;
  absl::Time now_ = absl::FromUnixSeconds(1'800'000'000);
  uint64_t version_ = 1;
  std::size_t heard_ = 0;
  std::vector<member> members_;
  absl::flat_hash_map<endpoint, std::size_t> index_;
  absl::flat_hash_map<endpoint, control_vm> control_;
};

}  // namespace

relay_outcome RunRelays(std::size_t balancers, std::size_t agents,
                        std::size_t control_vms, uint64_t seed) {
  return relay_model(balancers, agents, control_vms, seed).Run();
}

}  // namespace cardamomroute::load
