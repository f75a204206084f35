#include "cardamomroute/submission_worker.h"

#include <poll.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>  // labels the test for the thread sanitizer

#include "base/concat.h"

namespace cardamomroute {
namespace {

constexpr int kForeverMs = -1;

inner::operator_request Request(const std::string& text) {
  inner::operator_request request;
  request.set_text(text);
  request.set_submission_id("id");
  return request;
}

std::string TextOf(int services) {
  std::string list;
  for (int i = 0; i < services; ++i) {
    list += Concat(i == 0 ? "" : ",", R"({"name":"s)", i,
                   R"(","address":"192.0.2.)", i + 1,
                   R"(:5683","protocol":"datagram"})");
  }
  return Concat(R"({"services":[)", list, "]}");
}

/// Good and faulty texts come back in order, each to who sent it.
BOOST_AUTO_TEST_CASE(TextsComeBackInTheOrderInWhichTheyCame) {
  constexpr int kTexts = 30;
  submission_worker worker;
  for (int i = 0; i < kTexts; ++i) {
    const std::string text = i % 3 == 0 ? "{}" : TextOf(i);
    BOOST_REQUIRE(worker.Begin(std::to_string(i), Request(text)).has_value());
  }
  int next = 0;
  while (next < kTexts) {
    pollfd readable = {worker.fd(), POLLIN, 0};
    BOOST_REQUIRE(poll(&readable, 1, kForeverMs) == 1);
    for (const checked_submission& checked : worker.TakeChecked()) {
      BOOST_TEST(checked.client == std::to_string(next));
      BOOST_TEST(checked.read.has_value() == (next % 3 != 0));
      if (checked.read.has_value()) {
        BOOST_TEST(checked.read.value().services_size() == next);
      }
      ++next;
    }
  }
  BOOST_TEST(worker.TakeChecked().empty());
}

BOOST_AUTO_TEST_CASE(AWorkerEndsWithTextsThatWait) {
  submission_worker worker;
  for (int i = 0; i < 20; ++i) {
    BOOST_TEST(worker.Begin("client", Request(TextOf(200))).has_value());
  }
}

}  // namespace
}  // namespace cardamomroute
