#ifndef CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_
#define CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_

#include "base/json_text.h"
#include "inner/command.pb.h"
#include "inner/node.pb.h"

namespace cardamomroute::control {

/// What the leader proposes for an operator's text: its canonical form, digest
/// and services, with the base and id of `request`. Fails as ParseServices,
/// with places in "text". Reads no state.
checked_result<inner::submit_text> ReadSubmission(
    const inner::operator_request& request);

}  // namespace cardamomroute::control

#endif  // CARDAMOMROUTE_CONTROL_SUBMISSION_READER_H_
