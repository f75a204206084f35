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
constexpr int kServiceNames = 4;  // The last one is never in a text.

/// A node that pulls the whole view, skips some versions, and serves deltas to
/// other nodes from its own history.
struct relay {
  view current;
  view_history history{static_cast<std::size_t>(*rc::gen::inRange(1, 200))};

  void PullFrom(const control_state& state) {
    const auto change = DecodeDelta(state.DeltaFrom(current.version));
    RC_ASSERT(change.has_value());
    RC_ASSERT(ApplyChange(&current, change.value()).has_value());
    history.Remember(change.value());
  }
};

/// A node that pulls from control or from a relay, either the whole view or the
/// part that its service needs.
struct agent {
  std::string service;
  view current;
  bool is_unfiltered = false;

  inner::view_delta RequestDelta(const control_state& state,
                                 const relay& parent, uint64_t have,
                                 const std::string& scope) const {
    const bool is_relayed = parent.current.version >= current.version &&
                            *rc::gen::arbitrary<bool>();
    return is_relayed ? parent.history.DeltaFrom(have, parent.current, scope)
                      : state.DeltaFrom(have, scope);
  }

  void Pull(const control_state& state, const relay& parent) {
    const uint64_t before = current.version;
    if (*rc::gen::inRange(0, 4) == 0) {
      SwitchScope(state, parent);
    } else {
      const inner::view_delta delta = RequestDelta(
          state, parent, current.version, is_unfiltered ? "" : service);
      RC_ASSERT(delta.service() == (is_unfiltered ? "" : service));
      Apply(delta);
    }
    RC_ASSERT(current.version >= before);
  }

  void SwitchScope(const control_state& state, const relay& parent) {
    if (is_unfiltered) {
      current = FilterView(current, service);
    } else {
      const inner::view_delta whole = RequestDelta(state, parent, 0, "");
      current = view();
      Apply(whole);
    }
    is_unfiltered = !is_unfiltered;
  }

  void Apply(const inner::view_delta& delta) {
    const auto change = DecodeDelta(delta);
    RC_ASSERT(change.has_value());
    RC_ASSERT(ApplyChange(&current, change.value()).has_value());
  }
};

// Agents switch between filtered and whole views, and between control and a
// relay. After each pull an agent must have exactly the filtered form of the
// view at its version.
RC_BOOST_PROP(PullingAFilteredViewEqualsFilteringTheWholeView, ()) {
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
      const view& whole = versions.at(item.current.version);
      const bool is_equal =
          item.current ==
          (item.is_unfiltered ? whole : FilterView(whole, item.service));
      RC_ASSERT(is_equal);
    }
  }
}

// A relaying agent passes filtered changes to its traffic thread. A wrong
// filter would leave that thread with a view other than the agent's.
RC_BOOST_PROP(ApplyingAFilteredChangeEqualsFilteringTheNewView, ()) {
  command_runner runner;
  relay node;
  view filtered;
  const std::string service = "service-1";
  for (int i = 0; i < kCommands; ++i) {
    runner.Run(AnyCommand(runner.State()));
    if (*rc::gen::inRange(0, 3) == 0 ||
        runner.State().View().version == node.current.version) {
      continue;
    }
    auto change =
        DecodeDelta(runner.State().DeltaFrom(node.current.version)).value();
    ExpandLostZones(node.current, &change);
    node.PullFrom(runner.State());
    FilterChange(node.current, service, &change);
    RC_ASSERT(ApplyChange(&filtered, change).has_value());
    const bool is_equal = filtered == FilterView(node.current, service);
    RC_ASSERT(is_equal);
  }
}

}  // namespace
}  // namespace cardamomroute::control
