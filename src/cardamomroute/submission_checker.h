#ifndef CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_CHECKER_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_CHECKER_H_

#include <string>

#include "base/result.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// Reads and checks operators' texts (control::ReadSubmission) so that the
/// thread of the control state need not.
class submission_checker {
 public:
  virtual ~submission_checker() = default;

  /// Takes the text of an "apply". What was read goes to
  /// control_member::OnChecked, in the order of the calls. Fails with kBusy,
  /// and says when to ask again, where too much waits already.
  virtual result<void> Begin(const std::string& client,
                             const inner::operator_request& request) = 0;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_SUBMISSION_CHECKER_H_
