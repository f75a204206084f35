#ifndef CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_REPORT_H_
#define CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_REPORT_H_

#include <string>

#include "absl/time/time.h"

namespace cardamomroute {

class child_book;
class metrics;

namespace control {
class control_state;
class raft_core;
class registry_core;
}  // namespace control

/// Status document: the text in force, the view, the services with the
/// services that each one's loss affects, targets, nodes and what this member
/// measures. `children` are the nodes that pull from this member.
std::string StatusJson(const control::control_state& state,
                       const control::registry_core& registry,
                       const child_book& children, const metrics& measured,
                       absl::Time now);

/// The members of the control group as this one knows them.
std::string MembersJson(const control::raft_core& raft, absl::Time now);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_CARDAMOMROUTE_CONTROL_REPORT_H_
