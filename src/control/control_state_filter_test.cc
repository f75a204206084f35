#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "base/concat.h"
#include "control/control_state.h"
#include "control/control_state_test_support.h"
#include "view/view_codec.h"
#include "view/view_filter.h"
#include "view/view_history.h"

namespace cardamomroute::control {
namespace {

constexpr int kCommands = 30;
constexpr int kServiceNames = 4;  // One of them is never in the text.

/// A node with a whole view that misses some versions, and serves others.
struct relay {
  view present;
  view_history history{static_cast<std::size_t>(*rc::gen::inRange(1, 200))};

  void PullFrom(const control_state& state) {
    const auto change = DecodeDelta(state.DeltaFrom(present.version));
    RC_ASSERT(change.has_value());
    RC_ASSERT(ApplyChange(&present, change.value()).has_value());
    history.Remember(change.value());
  }
};

/// A node that pulls from control or from a relay, whole or filtered.
struct agent {
  std::string service;
  view present;
  bool is_whole = false;

  inner::view_delta Ask(const control_state& state, const relay& parent,
                        uint64_t have, const std::string& scope) const {
    const bool is_relayed = parent.present.version >= present.version &&
                            *rc::gen::arbitrary<bool>();
    return is_relayed ? parent.history.DeltaFrom(have, parent.present, scope)
                      : state.DeltaFrom(have, scope);
  }

  void Pull(const control_state& state, const relay& parent) {
    const uint64_t before = present.version;
    if (*rc::gen::inRange(0, 4) == 0) {
      Switch(state, parent);
    } else {
      const inner::view_delta delta =
          Ask(state, parent, present.version, is_whole ? "" : service);
      RC_ASSERT(delta.service() == (is_whole ? "" : service));
      Take(delta);
    }
    RC_ASSERT(present.version >= before);
  }

  void Switch(const control_state& state, const relay& parent) {
    if (is_whole) {
      present = FilterView(present, service);
    } else {
      const inner::view_delta whole = Ask(state, parent, 0, "");
      present = view();
      Take(whole);
    }
    is_whole = !is_whole;
  }

  void Take(const inner::view_delta& delta) {
    const auto change = DecodeDelta(delta);
    RC_ASSERT(change.has_value());
    RC_ASSERT(ApplyChange(&present, change.value()).has_value());
  }
};

RC_BOOST_PROP(AFilteredViewIsTheFilterOfTheWholeOne, ()) {
  command_runner runner;
  relay parent;
  std::map<uint64_t, view> versions = {{0, view()}};
  std::vector<agent> agents;
  for (int i = 0; i < kServiceNames; ++i) {
    agents.emplace_back().service = Concat("service-", i);
    agents.emplace_back().service = Concat("service-", i);
  }
  for (int i = 0; i < kCommands; ++i) {
    runner.Run(AnyCommand(runner.State()));
    const control_state& state = runner.State();
    versions[state.View().version] = state.View();
    if (*rc::gen::inRange(0, 3) != 0) {
      parent.PullFrom(state);
    }
    for (agent& item : agents) {
      if (*rc::gen::inRange(0, 3) == 0) {
        continue;
      }
      item.Pull(state, parent);
      const view& whole = versions.at(item.present.version);
      const bool is_right =
          item.present ==
          (item.is_whole ? whole : FilterView(whole, item.service));
      RC_ASSERT(is_right);
    }
  }
}

// What an agent that relays tells its traffic thread.
RC_BOOST_PROP(AFilteredChangeLeadsFromOneFilteredViewToTheOther, ()) {
  command_runner runner;
  relay node;
  view part;
  const std::string service = "service-1";
  for (int i = 0; i < kCommands; ++i) {
    runner.Run(AnyCommand(runner.State()));
    if (*rc::gen::inRange(0, 3) == 0 ||
        runner.State().View().version == node.present.version) {
      continue;
    }
    auto change =
        DecodeDelta(runner.State().DeltaFrom(node.present.version)).value();
    ExpandLostZones(node.present, &change);
    node.PullFrom(runner.State());
    FilterChange(node.present, service, &change);
    RC_ASSERT(ApplyChange(&part, change).has_value());
    const bool is_right = part == FilterView(node.present, service);
    RC_ASSERT(is_right);
  }
}

}  // namespace
}  // namespace cardamomroute::control
