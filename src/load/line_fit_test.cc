// Properties of the fitted lines and quantiles that the measurements print.
#include "load/line_fit.h"

#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <cstddef>
#include <vector>

#include "load/quantile.h"

namespace cardamomroute::load {
namespace {

constexpr double kTolerance = 1e-6;

BOOST_AUTO_TEST_CASE(points_on_a_line_give_that_line) {
  BOOST_TEST(rc::check([] {
    const int slope = *rc::gen::inRange(-1000, 1000);
    const int intercept = *rc::gen::inRange(-1000, 1000);
    const auto sizes = *rc::gen::unique<std::vector<int>>(
        *rc::gen::inRange<std::size_t>(2, 8), rc::gen::inRange(1, 1000));
    line_fit fit;
    for (const int size : sizes) {
      fit.Add(size, slope * size + intercept);
    }
    RC_ASSERT(std::abs(fit.Slope() - slope) < kTolerance);
    RC_ASSERT(std::abs(fit.Intercept() - intercept) < kTolerance * 1000);
    RC_ASSERT(std::abs(fit.Determination() - 1) < kTolerance);
  }));
}

BOOST_AUTO_TEST_CASE(a_quantile_has_its_share_of_the_values_up_to_it) {
  BOOST_TEST(rc::check([] {
    const auto values = *rc::gen::nonEmpty<std::vector<double>>();
    const int percent = *rc::gen::inRange(0, 101);
    const double found = Quantile(values, percent / 100.0);
    const auto up_to = static_cast<double>(
        std::count_if(values.begin(), values.end(),
                      [found](double value) { return value <= found; }));
    const auto below = static_cast<double>(
        std::count_if(values.begin(), values.end(),
                      [found](double value) { return value < found; }));
    const auto last = static_cast<double>(values.size() - 1);
    RC_ASSERT(std::find(values.begin(), values.end(), found) != values.end());
    RC_ASSERT(up_to > std::floor(percent / 100.0 * last));
    RC_ASSERT(below <= percent / 100.0 * last);
  }));
}

}  // namespace
}  // namespace cardamomroute::load
