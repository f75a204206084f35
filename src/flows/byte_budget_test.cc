#include "flows/byte_budget.h"

#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(byte_budget_test)

// Pattern: after an all-stop each flow is looked for, over and over.
BOOST_AUTO_TEST_CASE(SendsNoMoreThanItsRateAndOneBurst) {
  constexpr size_t kBytes = 100;
  byte_budget budget(10'000, 2'000);
  const absl::Time start = absl::UnixEpoch();
  size_t sent = 0;
  for (int ms = 0; ms < 1000; ++ms) {
    const absl::Time now = start + absl::Milliseconds(ms);
    while (budget.Allows(now)) {
      budget.Spend(kBytes);
      sent += kBytes;
    }
    BOOST_TEST((budget.AllowsFrom() > now));
  }
  BOOST_TEST(sent <= 12'000 + kBytes);
  BOOST_TEST(sent >= 11'500);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
