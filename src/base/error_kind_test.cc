#include "base/error_kind.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <set>
#include <string_view>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_CASE(TableFollowsTheEnumerationWithoutHoles) {
  for (size_t i = 0; i < kErrorTable.size(); ++i) {
    BOOST_TEST(static_cast<size_t>(kErrorTable.at(i).kind) == i);
  }
  BOOST_TEST(static_cast<size_t>(error_kind::kRunUnknown) + 1 ==
             kErrorTable.size());
}

BOOST_AUTO_TEST_CASE(CodesAreUniqueAndNoErrorExitsAsSuccess) {
  std::set<std::string_view> codes;
  for (const error_row& row : kErrorTable) {
    BOOST_TEST(codes.insert(row.code).second);
    BOOST_TEST(row.exit_status > 1);
  }
}

}  // namespace
}  // namespace cardamomroute
