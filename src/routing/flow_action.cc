#include "routing/flow_action.h"

namespace cardamomroute {

const std::array<std::string_view, 23> kFlowReasonNames = {
    "held-here",           "placed-here",         "placed-by-home",
    "placed-on-candidate", "redirected",          "forwarded-to-home",
    "returned-to-home",    "asked-previous-home", "awaits-holders",
    "awaits-view",         "awaits-handover",     "registered",
    "handed-over",         "taken-over",          "superseded",
    "lease-expired",       "no-target",           "is-draining",
    "foreign-service",     "too-many-hops",       "buffer-full",
    "peer-message",        "not-member",
};

}  // namespace cardamomroute
