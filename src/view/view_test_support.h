#ifndef CARDAMOMROUTE_VIEW_VIEW_TEST_SUPPORT_H_
#define CARDAMOMROUTE_VIEW_VIEW_TEST_SUPPORT_H_

#include <cstdint>

#include "view/view.h"

namespace cardamomroute {

/// A view with random items out of small ranges of ids.
view RandomView(uint64_t seed, uint64_t version);

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_VIEW_VIEW_TEST_SUPPORT_H_
