#ifndef CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_
#define CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_

#include <string>
#include <vector>

#include "control/control_state.h"
#include "inner/command.pb.h"

namespace cardamomroute::control {

/// Generates a command with RapidCheck. Names, addresses, nodes and zones come
/// from small sets, so that commands conflict often. Most submissions are based
/// on the text in force in `state`.
inner::command AnyCommand(const control_state& state);

/// Applies commands to a state. Indexes increase, with gaps.
class command_runner {
 public:
  apply_outcome Run(const inner::command& command);

  const control_state& State() const { return state_; }
  uint64_t Index() const { return index_; }

 private:
  control_state state_;
  uint64_t index_ = 0;
};

/// Returns a submission with one service, based on the text in force in
/// `state`.
inner::command Submission(const control_state& state, const std::string& id,
                          const std::string& service,
                          const std::string& address);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_CONTROL_STATE_TEST_SUPPORT_H_
