#include "cardamomroute/operator_gateway.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace cardamomroute {
namespace {

constexpr absl::Time kStart = absl::UnixEpoch();

inner::operator_answer Answer(uint64_t request, const std::string& code,
                              const std::string& leader = "") {
  inner::operator_answer answer;
  answer.set_request(request);
  answer.set_code(code);
  answer.set_leader(leader);
  return answer;
}

BOOST_AUTO_TEST_CASE(HandsOnWhatTheMemberSays) {
  operator_gateway gateway;
  const uint64_t number = gateway.Begin({}, kStart);
  BOOST_REQUIRE(gateway.TakeDue(kStart).size() == 1U);
  BOOST_TEST(gateway.TakeDue(kStart).empty());
  gateway.OnAnswer(Answer(number, "accepted"), kStart);
  const auto outcomes = gateway.TakeOutcomes(kStart);
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_TEST(outcomes[0].request == number);
  BOOST_TEST((outcomes[0].what == gateway_outcome::kind::kDone));
  BOOST_TEST(gateway.TakeOutcomes(kStart).empty());
}

BOOST_AUTO_TEST_CASE(SendsOperatorsToTheLeader) {
  operator_gateway gateway;
  const uint64_t number = gateway.Begin({}, kStart);
  gateway.TakeDue(kStart);
  gateway.OnAnswer(Answer(number, "not-leader", "10.0.0.1:7720"), kStart);
  const auto outcomes = gateway.TakeOutcomes(kStart);
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_TEST((outcomes[0].what == gateway_outcome::kind::kElsewhere));
  BOOST_TEST(outcomes[0].answer.leader() == "10.0.0.1:7720");
}

// Asked again until there is a leader, or until the operator would give up.
BOOST_AUTO_TEST_CASE(WaitsAMomentForALeader) {
  operator_gateway gateway;
  const uint64_t first = gateway.Begin({}, kStart);
  gateway.TakeDue(kStart);
  gateway.OnAnswer(Answer(first, "no-quorum"), kStart);
  BOOST_TEST(gateway.TakeDue(kStart).empty());
  BOOST_TEST((gateway.NextDeadline() == kStart + kGatewayRetry));
  BOOST_TEST(gateway.TakeDue(kStart + kGatewayRetry).size() == 1U);
  BOOST_TEST(gateway.TakeOutcomes(kStart + kGatewayRetry).empty());
  const auto outcomes = gateway.TakeOutcomes(kStart + kGatewayTimeout);
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_TEST((outcomes[0].what == gateway_outcome::kind::kUnavailable));
  BOOST_TEST(outcomes[0].answer.code() == "no-quorum");
  // An answer that comes after that is of no use.
  gateway.OnAnswer(Answer(first, "accepted"), kStart + kGatewayTimeout);
  BOOST_TEST(gateway.TakeOutcomes(kStart + kGatewayTimeout).empty());
}

BOOST_AUTO_TEST_CASE(TakesABoundedNumberOfRequests) {
  operator_gateway gateway;
  for (size_t i = 0; i < kGatewayRequests; ++i) {
    BOOST_REQUIRE(gateway.Begin({}, kStart) != 0U);
  }
  BOOST_TEST(gateway.Begin({}, kStart) == 0U);
}

}  // namespace
}  // namespace cardamomroute
