#include "flows/flow_listing.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(flow_listing_test)

constexpr uint32_t kRun = 9;

flow_id Flow(uint32_t number) {
  return {{0x64400000 + number, 40001}, {0xc6120001, 443}};
}

/// An answer that lists the flows with these numbers, all above `after` and up
/// to `up_to`.
inner::holder_answer Answer(uint64_t after, uint64_t up_to,
                            const std::vector<uint32_t>& numbers,
                            uint32_t run = kRun) {
  inner::holder_answer answer;
  answer.set_lists_all(true);
  answer.set_list_run(run);
  answer.set_listed_after(after);
  answer.set_listed_up_to(up_to);
  for (const uint32_t number : numbers) {
    AddListed(Flow(number), answer.mutable_listed());
  }
  return answer;
}

struct fixture {
  bool MayHold(uint32_t number) const {
    return listing.MayHold(ListedHashOf(Flow(number)));
  }
  inner::holder_query Query() const {
    inner::holder_query query;
    listing.AskForNew(&query);
    return query;
  }

  flow_listing listing;
};

BOOST_FIXTURE_TEST_CASE(LaterAnswersAddWhatIsNew, fixture) {
  BOOST_TEST(Query().listed_up_to() == 0U);
  BOOST_TEST(listing.Take(Answer(0, 2, {1, 2})));
  BOOST_TEST(Query().list_run() == kRun);
  BOOST_TEST(Query().listed_up_to() == 2U);
  BOOST_TEST(listing.Take(Answer(2, 4, {4})));
  BOOST_TEST(MayHold(1));
  BOOST_TEST(MayHold(2));
  BOOST_TEST(!MayHold(3));
  BOOST_TEST(MayHold(4));
  BOOST_TEST(Query().listed_up_to() == 4U);
}

// The answer before it was lost, and may have listed the flow.
BOOST_FIXTURE_TEST_CASE(AnAnswerThatContinuesAnotherListSaysNothing, fixture) {
  BOOST_TEST(!listing.Take(Answer(2, 4, {4})));
  BOOST_TEST(listing.Take(Answer(0, 2, {1})));
  BOOST_TEST(!listing.Take(Answer(3, 4, {4})));
  BOOST_TEST(!MayHold(4));
  BOOST_TEST(Query().listed_up_to() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AnswersMayOvertakeOneAnother, fixture) {
  BOOST_TEST(listing.Take(Answer(0, 2, {1, 2})));
  BOOST_TEST(listing.Take(Answer(2, 5, {4, 5})));
  BOOST_TEST(listing.Take(Answer(2, 4, {4})));
  BOOST_TEST(listing.Take(Answer(0, 3, {1})));
  for (const uint32_t number : {1, 2, 4, 5}) {
    BOOST_TEST(MayHold(number));
  }
  BOOST_TEST(Query().listed_up_to() == 5U);
}

// Pattern: agents start again beside upstreams that start again.
BOOST_FIXTURE_TEST_CASE(TheListOfAFormerProcessIsNotContinued, fixture) {
  BOOST_TEST(listing.Take(Answer(0, 500, {1})));
  BOOST_TEST(!listing.Take(Answer(500, 501, {2}, kRun + 1)));
  BOOST_TEST(listing.Take(Answer(0, 3, {3}, kRun + 1)));
  BOOST_TEST(!MayHold(1));
  BOOST_TEST(MayHold(3));
  BOOST_TEST(Query().list_run() == kRun + 1);
  BOOST_TEST(Query().listed_up_to() == 3U);
}

// Flows that have ended stay in it, so it would fill up.
BOOST_FIXTURE_TEST_CASE(AListThatIsLongIsAskedForAnew, fixture) {
  std::vector<uint32_t> numbers;
  for (uint32_t i = 0; i < 2 * kMostKeptHashes; ++i) {
    numbers.push_back(i);
  }
  BOOST_TEST(listing.Take(Answer(0, 9000, numbers)));
  BOOST_TEST(Query().listed_up_to() == 0U);
  BOOST_TEST(listing.Take(Answer(0, 9001, {1})));
  BOOST_TEST(Query().listed_up_to() == 9001U);
  BOOST_TEST(!MayHold(2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
