#ifndef CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_
#define CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_

#include "base/json_text.h"
#include "inner/command.pb.h"
#include "inner/node.pb.h"

namespace cardamomroute::control {

/// Converts an operator's text to the command that the leader proposes: its
/// canonical form, digest and services, with the base and id of `request`.
/// Fails as ParseServices does, with places in "text". Depends only on
/// `request`.
checked_result<inner::submit_text> ReadSubmission(
    const inner::operator_request& request);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_
