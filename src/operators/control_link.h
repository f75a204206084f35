#ifndef CARDAMOMROUTE_OPERATORS_CONTROL_LINK_H_
#define CARDAMOMROUTE_OPERATORS_CONTROL_LINK_H_

#include <absl/time/time.h>

#include "base/endpoint.h"
#include "base/result.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// The way from an operator's command to the control VMs, and its clock.
class control_link {
 public:
  virtual ~control_link() = default;

  /// Sends `request` to the control VM at `control` and waits for its answer.
  /// Fails with kUnreachable when the request was certainly not delivered,
  /// with kOutcomeUnknown when it may have been and no answer came by
  /// `deadline`, and with kMalformedMessage for an answer that cannot be read.
  virtual result<inner::operator_answer> Ask(
      const endpoint& control, const inner::operator_request& request,
      absl::Time deadline) = 0;

  virtual absl::Time Now() = 0;

  /// Returns after `length`.
  virtual void Pause(absl::Duration length) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_CONTROL_LINK_H_
