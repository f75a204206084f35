#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CHECKED_SUBMISSION_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CHECKED_SUBMISSION_H_

#include <string>

#include "base/json_text.h"
#include "inner/command.pb.h"
#include "inner/node.pb.h"

namespace cardamomroute {

/// An operator's text, read apart from the control state.
struct checked_submission {
  /// Whom to answer.
  std::string client;
  /// What is to be proposed, or every fault of the text.
  checked_result<inner::submit_text> read;
  /// The bytes of an inner::command with what was read and without a time.
  std::string command;
};

/// Reads the text of `request`; takes time by its size.
checked_submission CheckSubmission(std::string client,
                                   const inner::operator_request& request);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CHECKED_SUBMISSION_H_
