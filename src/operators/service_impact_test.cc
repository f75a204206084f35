#include "operators/service_impact.h"

#include <boost/test/unit_test.hpp>

namespace cardamomroute {
namespace {

service Named(service_id id, const char* name, std::vector<service_id> needs) {
  service made;
  made.id = id;
  made.name = name;
  made.depends_on = std::move(needs);
  return made;
}

target Serving(service_id id, target_state state) {
  target made;
  made.service = id;
  made.state = state;
  return made;
}

BOOST_AUTO_TEST_CASE(NamesWhoNeedsAServiceWithoutServingTargets) {
  view present;
  present.services = {Named(1, "a", {2, 3}), Named(2, "b", {3}),
                      Named(3, "c", {}), Named(4, "d", {}), Named(5, "e", {2})};
  present.targets = {Serving(1, target_state::kServing),
                     Serving(3, target_state::kDraining),
                     Serving(4, target_state::kServing)};
  const auto affected = AffectedByMissing(present);
  const std::vector<std::string> of_b = {"a", "e"};
  const std::vector<std::string> of_c = {"a", "b", "e"};
  BOOST_TEST(affected.size() == 3U);
  BOOST_TEST(affected.at(2) == of_b);
  BOOST_TEST(affected.at(3) == of_c);
  BOOST_TEST(affected.at(5).empty());
}

}  // namespace
}  // namespace cardamomroute
