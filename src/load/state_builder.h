#ifndef CARDAMOMROUTE_LOAD_STATE_BUILDER_H_
#define CARDAMOMROUTE_LOAD_STATE_BUILDER_H_

#include <cstdint>
#include <memory>

#include "control/control_state.h"

namespace cardamomroute::inner {
class command;
}  // namespace cardamomroute::inner

namespace cardamomroute::load {

/// Applies commands to a control state at rising indexes.
class state_builder {
 public:
  /// A state with `services` services and `targets` targets spread over them.
  static std::unique_ptr<state_builder> Build(int services, int targets);

  control::control_state& state() { return state_; }

  /// Submits a text that lists `services` services.
  void SubmitServices(int services);

  /// Adds targets `first` to `last` - 1, spread over `services` services.
  void JoinTargets(int first, int last, int services);

  /// Adds balancers 0 to `count` - 1.
  void JoinBalancers(int count);

  /// One target leaves and comes back: two entries.
  void Replace(int number, int services);

  /// All targets of an availability zone are lost in one entry, which names
  /// the zone or each of them.
  void LoseZone(int zone);
  void LoseTargetsOf(int zone);

 private:
  void Run(inner::command command);

  control::control_state state_;
  uint64_t index_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_STATE_BUILDER_H_
