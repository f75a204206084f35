#include "requests/capacity_estimator.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "caller/coap_message.h"
#include "requests/report_poller.h"
#include "routing/load_book.h"

namespace cardamomroute {
namespace {

const absl::Time kStart = absl::FromUnixSeconds(1'800'000'000);

/// Generates valid, false and contradictory reports, and other payloads.
std::string AnyBody() {
  const auto number = [] {
    return *rc::gen::element<std::string>("0", "1", "2", "4", "65535", "65536",
                                          "-1", "1.5", "null", "\"2\"", "1e9");
  };
  return *rc::gen::element<std::string>(
      "{\"slots\": " + number() + ", \"busy\": " + number() +
          ", \"healthy\": " + *rc::gen::element<std::string>("true", "false") +
          "}",
      "{\"slots\": 2, \"busy\": 2, \"healthy\": true}",
      "{\"slots\": 2, \"busy\": 0, \"healthy\": false}",
      "{\"slots\": 2, \"busy\": 0, \"healthy\": 1}", "{\"slots\": 2}", "[]", "",
      "ok", std::string(kMaxReportBytes + 1, ' '),
      *rc::gen::arbitrary<std::string>());
}

/// Builds an answer to the poll with `body` as payload.
std::string AnswerTo(const std::string& poll, const std::string& body) {
  coap_message answer;
  answer.token = ParseCoap(poll).value().token;
  answer.code = *rc::gen::element(kContentCode, kContentCode, kContentCode,
                                  kNotFoundCode, kServiceUnavailableCode);
  answer.type = *rc::gen::element(message_type::kConfirmable,
                                  message_type::kNonConfirmable);
  answer.payload = body;
  return SerializeCoap(answer);
}

/// Checks that reports never raise a target's usable slots above those of a
/// target without reports, and never lower them to zero.
void CheckShares(const capacity_estimator& estimator, uint32_t slots,
                 uint32_t busy, absl::Time now) {
  load_book reported;
  load_book measured;
  for (load_book* book : {&reported, &measured}) {
    book->OnStart(kStart);
    book->OnOwnLoad(busy, slots, 0, now);
  }
  reported.OnOwnReport(estimator.Share(now));
  const double usable = reported.Own(0, now).usable_slots;
  RC_ASSERT(usable <= measured.Own(0, now).usable_slots);
  RC_ASSERT(usable > 0.0);
  packet_header header;
  reported.FillHeader(0, now, &header);
  RC_ASSERT(header.slots > 0U);
}

RC_BOOST_PROP(reports_only_lower_the_share_and_never_to_zero, ()) {
  const auto slots = *rc::gen::inRange<uint32_t>(1, 20);
  capacity_estimator estimator(slots);
  report_poller poller("/load", 7);
  std::vector<std::string> in_flight;
  absl::Time now = kStart;
  absl::Time last_taken = absl::InfinitePast();
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += absl::Milliseconds(*rc::gen::inRange(0, 1500));
    const auto busy = *rc::gen::inRange<uint32_t>(0, slots + 1);
    if (const auto poll = poller.TakeDuePoll(now)) {
      in_flight.push_back(AnswerTo(*poll, AnyBody()));
    }
    // Answers arrive in any order, late, twice or never.
    while (!in_flight.empty() && *rc::gen::arbitrary<bool>()) {
      const auto at = *rc::gen::inRange<size_t>(0, in_flight.size());
      const poll_result outcome = poller.OnDatagram(in_flight[at], now);
      if (outcome.verdict == poll_verdict::kTaken) {
        RC_ASSERT(now <= outcome.asked_at + report_poller::kResponseTimeout);
        estimator.OnReport(outcome.report, busy, outcome.asked_at);
        last_taken = outcome.asked_at;
      }
      if (*rc::gen::arbitrary<bool>()) {
        in_flight.erase(in_flight.begin() + static_cast<int>(at));
      }
    }
    CheckShares(estimator, slots, busy, now);
    RC_ASSERT(estimator.Share(now) >= capacity_estimator::kMinShare);
    if (now >= last_taken + capacity_estimator::kReportLifetime) {
      RC_ASSERT(estimator.Share(now) == 1.0);
    }
  }
  RC_ASSERT(estimator.Share(now + capacity_estimator::kReportLifetime) == 1.0);
}

RC_BOOST_PROP(report_of_latest_poll_wins, ()) {
  capacity_estimator in_order(4);
  capacity_estimator any_order(4);
  std::vector<uint32_t> busy = *rc::gen::container<std::vector<uint32_t>>(
      6, rc::gen::inRange<uint32_t>(0, 5));
  const auto last = static_cast<uint32_t>(busy.size() - 1);
  const auto report_at = [&](capacity_estimator* estimator, uint32_t i) {
    estimator->OnReport({4, busy[i], true}, 0, kStart + absl::Milliseconds(i));
  };
  for (uint32_t i = 0; i <= last; ++i) {
    report_at(&in_order, i);
  }
  report_at(&any_order, last);
  report_at(&any_order, *rc::gen::inRange<uint32_t>(0, last));
  RC_ASSERT(any_order.Share(kStart) == in_order.Share(kStart));
}

BOOST_AUTO_TEST_CASE(share_follows_reported_free_slots) {
  capacity_estimator estimator(4);
  const auto share = [&](const upstream_report& report, uint32_t own_busy) {
    estimator.OnReport(report, own_busy, kStart);
    return estimator.Share(kStart);
  };
  BOOST_TEST(share({4, 0, true}, 0) == 1.0);
  // The agent's own requests do not lower the share.
  BOOST_TEST(share({4, 4, true}, 4) == 1.0);
  BOOST_TEST(share({4, 4, true}, 2) == 0.5);
  BOOST_TEST(share({2, 0, true}, 0) == 0.5);
  BOOST_TEST(share({65535, 0, true}, 0) == 1.0);
  BOOST_TEST(share({4, 4, true}, 0) == capacity_estimator::kMinShare);
  BOOST_TEST(share({4, 0, false}, 0) == capacity_estimator::kMinShare);
}

BOOST_AUTO_TEST_CASE(polls_without_an_answer_are_counted) {
  report_poller poller("/health/load", 7);
  const std::string first = *poller.TakeDuePoll(kStart);
  BOOST_TEST(UriPath(ParseCoap(first).value()) == "/health/load");
  BOOST_TEST(!poller.TakeDuePoll(kStart).has_value());
  const absl::Time next = poller.NextDeadline();
  const std::string second = *poller.TakeDuePoll(next);
  BOOST_TEST(poller.missed() == 1U);
  coap_message answer;
  answer.type = message_type::kNonConfirmable;
  answer.code = kContentCode;
  answer.payload = "{\"slots\": 2, \"busy\": 1, \"healthy\": true, \"x\": 1}";
  answer.token = ParseCoap(first).value().token;
  BOOST_TEST((poller.OnDatagram(SerializeCoap(answer), next).verdict ==
              poll_verdict::kLate));
  answer.token = ParseCoap(second).value().token;
  BOOST_TEST((poller.OnDatagram(SerializeCoap(answer), next).verdict ==
              poll_verdict::kTaken));
  BOOST_TEST(poller.missed() == 0U);
}

}  // namespace
}  // namespace cardamomroute
