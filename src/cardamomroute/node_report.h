#ifndef CARDAMOMROUTE_CARDAMOMROUTE_NODE_REPORT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_NODE_REPORT_H_

#include <cstdint>
#include <vector>

#include "base/result.h"
#include "inner/node.pb.h"

namespace cardamomroute {

class metrics;

/// Answers an operator's request to the node that announces itself with
/// `announcement`, has view `version`, whole or not, and measures `measured`.
/// Fails with kUsage for a command that nodes do not answer.
result<inner::control_answer> AnswerOperation(
    const inner::operator_request& request,
    const inner::pull_request& announcement, uint64_t version, bool is_whole,
    const std::vector<const metrics*>& measured);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_NODE_REPORT_H_
