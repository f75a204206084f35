#include "flows/holder_queries.h"

#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "flows/holder_search.h"
#include "flows/search_outlet.h"

namespace cardamomroute {
namespace {

BOOST_AUTO_TEST_SUITE(holder_queries_test)

constexpr absl::Time kStart = absl::UnixEpoch();
constexpr absl::Duration kMoment = absl::Milliseconds(1);
constexpr ipv4_address kAgent{0x0a000001, 7720};

flow_id Flow(uint32_t number) {
  return {{0x64400000 + number, 40001}, {0xc6120001, 443}};
}

/// Records the queries.
class recorder : public search_outlet {
 public:
  std::vector<search_candidate> CandidatesFor(const flow_id& /*flow*/,
                                              absl::Time /*now*/) override {
    return {};
  }
  void Ask(const ipv4_address& /*agent*/,
           const inner::holder_query& query) override {
    queries.push_back(query);
  }
  void TryAt(const ipv4_address& /*agent*/,
             const held_packet& /*packet*/) override {}
  void OnUnanswered(const ipv4_address& /*agent*/,
                    absl::Time /*now*/) override {}
  void OnHolder(const flow_id& /*flow*/, const ipv4_address& /*agent*/,
                bool /*is_certain*/,
                const std::vector<held_packet>& /*waiting*/,
                absl::Time /*now*/) override {}
  void OnPresumptionDenied(const flow_id& /*flow*/) override {}
  void OnNowhere(const flow_id& /*flow*/,
                 const flow_packet& /*last*/) override {}

  std::vector<inner::holder_query> queries;
};

struct fixture {
  /// Asks at once; the flows that are named.
  int AskFor(uint32_t number, absl::Time began_at, absl::Time now) {
    const size_t sent = out.queries.size();
    queries.Ask(kAgent, Flow(number), began_at, now);
    queries.Send(now);
    return out.queries.size() > sent ? out.queries.back().flows().callers_size()
                                     : -1;
  }
  bool AnswerLast(bool lists_all) {
    inner::holder_answer answer;
    answer.set_asked_at(out.queries.back().asked_at());
    answer.set_lists_all(lists_all);
    return queries.OnAnswer(kAgent, answer) == list_answer::kWantsNames;
  }

  recorder out;
  holder_queries queries{&out};
};

BOOST_FIXTURE_TEST_CASE(QueriesOfARoundToOneAgentGoTogether, fixture) {
  AskFor(1, kStart, kStart);
  BOOST_TEST(AnswerLast(false));
  const size_t first = queries.Ask(kAgent, Flow(1), kStart, kStart);
  const size_t second = queries.Ask(kAgent, Flow(2), kStart, kStart);
  BOOST_TEST(second < first);
  queries.Send(kStart);
  BOOST_REQUIRE(out.queries.size() == 2U);
  BOOST_TEST(out.queries[1].flows().callers_size() == 2);
  queries.Send(kStart);
  BOOST_TEST(out.queries.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AFullQueryIsSentAtOnce, fixture) {
  for (uint32_t i = 0; i < static_cast<uint32_t>(kFlowsPerQuery); ++i) {
    queries.AskByName(kAgent, Flow(i), kStart);
  }
  BOOST_TEST(out.queries.size() == 1U);
}

// Pattern: an all-stop. Names of all flows to all agents would fill the link.
BOOST_FIXTURE_TEST_CASE(AnAgentThatIsNotKnownIsAskedForOneFlow, fixture) {
  queries.Ask(kAgent, Flow(1), kStart, kStart);
  BOOST_TEST(queries.Ask(kAgent, Flow(2), kStart, kStart) == 0U);
  queries.Send(kStart);
  BOOST_REQUIRE(out.queries.size() == 1U);
  BOOST_TEST(out.queries[0].flows().callers_size() == 1);
  BOOST_TEST(queries.Ask(kAgent, Flow(3), kStart, kStart + kMoment) == 0U);
  // It does not list its flows, so the others name theirs.
  BOOST_TEST(AnswerLast(false));
  BOOST_TEST(AskFor(2, kStart, kStart + kMoment) == 1);
}

BOOST_FIXTURE_TEST_CASE(AnAgentThatListsAllIsAskedWithoutNames, fixture) {
  BOOST_TEST(AskFor(1, kStart, kStart) == 1);
  BOOST_TEST(!AnswerLast(true));
  BOOST_TEST(AskFor(2, kStart + kMoment, kStart + kMoment) == 0);
}

// The answer that is under way serves searches that began before its query.
BOOST_FIXTURE_TEST_CASE(AnAnswerUnderWayServesOlderSearchesOnly, fixture) {
  AskFor(1, kStart, kStart);
  AnswerLast(true);
  const absl::Time asked = kStart + kSearchPatience;
  BOOST_TEST(AskFor(2, asked, asked) == 0);
  BOOST_TEST(AskFor(3, kStart, asked + kMoment) == -1);
  BOOST_TEST(AskFor(4, asked + kMoment, asked + kMoment) == 0);
  // It was lost.
  BOOST_TEST(AskFor(3, kStart, asked + kMoment + kSearchPatience) == 0);
}

BOOST_FIXTURE_TEST_CASE(AnAgentThatListsNoMoreIsAskedByNameAgain, fixture) {
  AskFor(1, kStart, kStart);
  AnswerLast(true);
  AskFor(1, kStart + kMoment, kStart + kMoment);
  BOOST_TEST(AnswerLast(false));
  BOOST_TEST(!AnswerLast(false));
  BOOST_TEST(AskFor(1, kStart + kMoment, kStart + 2 * kMoment) == 1);
}

// Agents also deny a flow of which they were given a packet.
BOOST_FIXTURE_TEST_CASE(AnAnswerToNoQuerySaysNothingOfLists, fixture) {
  AskFor(1, kStart, kStart);
  AnswerLast(true);
  BOOST_TEST((queries.OnAnswer(kAgent, inner::holder_answer()) ==
              list_answer::kNothing));
  BOOST_TEST(AskFor(2, kStart + kMoment, kStart + kMoment) == 0);
}

BOOST_FIXTURE_TEST_CASE(WhatAnAgentListsIsForgotten, fixture) {
  AskFor(1, kStart, kStart);
  AnswerLast(true);
  const absl::Time later = kStart + kListingLife;
  queries.Sweep(later);
  BOOST_TEST(AskFor(1, later, later) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace cardamomroute
