#include "flows/upstream_suspicion.h"

#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(upstream_suspicion_test)

constexpr absl::Time kStart = absl::UnixEpoch();

absl::Time At(int ms) { return kStart + absl::Milliseconds(ms); }

BOOST_AUTO_TEST_CASE(OneThatWasNeverHeardIsAskedAtOnceAndAgain) {
  upstream_suspicion suspicion;
  BOOST_TEST(suspicion.TakeDue(At(0)));
  BOOST_TEST(!suspicion.TakeDue(At(499)));
  BOOST_TEST((suspicion.NextDeadline() == At(500)));
  BOOST_TEST(suspicion.TakeDue(At(500)));
}

// Pattern: an upstream crashes under load.
BOOST_AUTO_TEST_CASE(OneThatIsSilentUnderLoadIsAsked) {
  upstream_suspicion suspicion;
  suspicion.OnHeard();
  BOOST_TEST(!suspicion.TakeDue(At(10000)));
  for (int ms = 10000; ms < 10150; ms += 10) {
    suspicion.OnDelivered(At(ms));
    BOOST_TEST(!suspicion.TakeDue(At(ms)));
  }
  BOOST_TEST(suspicion.TakeDue(At(10150)));
}

// Pattern: an upstream is slow and accepts.
BOOST_AUTO_TEST_CASE(OneThatAnswersOthersIsNotAsked) {
  upstream_suspicion suspicion;
  for (int ms = 0; ms < 5000; ms += 100) {
    suspicion.OnDelivered(At(ms));
    suspicion.OnHeard();
    BOOST_TEST(!suspicion.TakeDue(At(ms + 99)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
