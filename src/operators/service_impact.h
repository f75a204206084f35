#ifndef CARDAMOMROUTE_OPERATORS_SERVICE_IMPACT_H_
#define CARDAMOMROUTE_OPERATORS_SERVICE_IMPACT_H_

#include <map>
#include <string>
#include <vector>

#include "view/view.h"

namespace cardamomroute {

/// For each service without a serving target, the names of the services that
/// depend on it, directly or not, sorted. Takes time by the number of
/// dependencies and by what is found.
std::map<service_id, std::vector<std::string>> AffectedByMissing(
    const view& present);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_OPERATORS_SERVICE_IMPACT_H_
