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

/// Reports that are true, false, contradictory, and what is no report.
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

/// An answer that carries `body` to the question.
std::string AnswerTo(const std::string& question, const std::string& body) {
  coap_message answer;
  answer.token = ParseCoap(question).value().token;
  answer.code = *rc::gen::element(kContentCode, kContentCode, kContentCode,
                                  kNotFoundCode, kServiceUnavailableCode);
  answer.type = *rc::gen::element(message_type::kConfirmable,
                                  message_type::kNonConfirmable);
  answer.payload = body;
  return SerializeCoap(answer);
}

/// Usable slots of a target whose reports count, and of one without any.
void CheckShares(const capacity_estimator& judge, uint32_t slots, uint32_t busy,
                 absl::Time now) {
  load_book told;
  load_book measured;
  for (load_book* book : {&told, &measured}) {
    book->OnStart(kStart);
    book->OnOwnLoad(busy, slots, 0, now);
  }
  told.OnOwnReport(judge.Share(now));
  const double usable = told.Own(0, now).usable_slots;
  RC_ASSERT(usable <= measured.Own(0, now).usable_slots);
  RC_ASSERT(usable > 0.0);
  packet_header header;
  told.FillHeader(0, now, &header);
  RC_ASSERT(header.slots > 0U);
}

RC_BOOST_PROP(reports_only_lower_a_share_and_never_to_nothing, ()) {
  const auto slots = *rc::gen::inRange<uint32_t>(1, 20);
  capacity_estimator judge(slots);
  report_poller reader("/load", 7);
  std::vector<std::string> on_the_way;
  absl::Time now = kStart;
  absl::Time last_taken = absl::InfinitePast();
  const int steps = *rc::gen::inRange(1, 60);
  for (int i = 0; i < steps; ++i) {
    now += absl::Milliseconds(*rc::gen::inRange(0, 1500));
    const auto busy = *rc::gen::inRange<uint32_t>(0, slots + 1);
    if (const auto question = reader.TakeDuePoll(now)) {
      on_the_way.push_back(AnswerTo(*question, AnyBody()));
    }
    // Answers come in any order, late, twice or never.
    while (!on_the_way.empty() && *rc::gen::arbitrary<bool>()) {
      const auto at = *rc::gen::inRange<size_t>(0, on_the_way.size());
      const poll_result reading = reader.OnDatagram(on_the_way[at], now);
      if (reading.verdict == poll_verdict::kTaken) {
        RC_ASSERT(now <= reading.asked_at + report_poller::kPatience);
        judge.OnReport(reading.report, busy, reading.asked_at);
        last_taken = reading.asked_at;
      }
      if (*rc::gen::arbitrary<bool>()) {
        on_the_way.erase(on_the_way.begin() + static_cast<int>(at));
      }
    }
    CheckShares(judge, slots, busy, now);
    RC_ASSERT(judge.Share(now) >= capacity_estimator::kLeastShare);
    if (now >= last_taken + capacity_estimator::kFreshTime) {
      RC_ASSERT(judge.Share(now) == 1.0);
    }
  }
  RC_ASSERT(judge.Share(now + capacity_estimator::kFreshTime) == 1.0);
}

RC_BOOST_PROP(the_report_that_was_asked_for_last_stands, ()) {
  capacity_estimator in_order(4);
  capacity_estimator any_order(4);
  std::vector<uint32_t> busy = *rc::gen::container<std::vector<uint32_t>>(
      6, rc::gen::inRange<uint32_t>(0, 5));
  const auto last = static_cast<uint32_t>(busy.size() - 1);
  const auto report_at = [&](capacity_estimator* judge, uint32_t i) {
    judge->OnReport({4, busy[i], true}, 0, kStart + absl::Milliseconds(i));
  };
  for (uint32_t i = 0; i <= last; ++i) {
    report_at(&in_order, i);
  }
  report_at(&any_order, last);
  report_at(&any_order, *rc::gen::inRange<uint32_t>(0, last));
  RC_ASSERT(any_order.Share(kStart) == in_order.Share(kStart));
}

BOOST_AUTO_TEST_CASE(what_a_report_changes) {
  capacity_estimator judge(4);
  const auto share = [&](const upstream_report& report, uint32_t own_busy) {
    judge.OnReport(report, own_busy, kStart);
    return judge.Share(kStart);
  };
  BOOST_TEST(share({4, 0, true}, 0) == 1.0);
  // What we run ourselves is no reason for less.
  BOOST_TEST(share({4, 4, true}, 4) == 1.0);
  BOOST_TEST(share({4, 4, true}, 2) == 0.5);
  BOOST_TEST(share({2, 0, true}, 0) == 0.5);
  BOOST_TEST(share({65535, 0, true}, 0) == 1.0);
  BOOST_TEST(share({4, 4, true}, 0) == capacity_estimator::kLeastShare);
  BOOST_TEST(share({4, 0, false}, 0) == capacity_estimator::kLeastShare);
}

BOOST_AUTO_TEST_CASE(questions_without_an_answer_are_counted) {
  report_poller reader("/health/load", 7);
  const std::string first = *reader.TakeDuePoll(kStart);
  BOOST_TEST(UriPath(ParseCoap(first).value()) == "/health/load");
  BOOST_TEST(!reader.TakeDuePoll(kStart).has_value());
  const absl::Time next = reader.NextDeadline();
  const std::string second = *reader.TakeDuePoll(next);
  BOOST_TEST(reader.missed() == 1U);
  coap_message answer;
  answer.type = message_type::kNonConfirmable;
  answer.code = kContentCode;
  answer.payload = "{\"slots\": 2, \"busy\": 1, \"healthy\": true, \"x\": 1}";
  answer.token = ParseCoap(first).value().token;
  BOOST_TEST((reader.OnDatagram(SerializeCoap(answer), next).verdict ==
              poll_verdict::kLate));
  answer.token = ParseCoap(second).value().token;
  BOOST_TEST((reader.OnDatagram(SerializeCoap(answer), next).verdict ==
              poll_verdict::kTaken));
  BOOST_TEST(reader.missed() == 0U);
}

}  // namespace
}  // namespace cardamomroute
