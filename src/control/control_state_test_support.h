#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_

#include <string>
#include <vector>

#include "control/control_state.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// A command over a few names, addresses, nodes and zones, so that they
/// collide often; draws from RapidCheck. Submissions are based on the text in
/// force in `state` more often than not.
inner::command AnyCommand(const control_state& state);

/// Applies commands to a state at rising indexes with gaps.
class command_runner {
 public:
  apply_outcome Run(const inner::command& command);

  const control_state& State() const { return state_; }
  uint64_t Index() const { return index_; }

 private:
  control_state state_;
  uint64_t index_ = 0;
};

/// A submission of one service.
inner::command Submission(const control_state& state, const std::string& id,
                          const std::string& service,
                          const std::string& address);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_
