// Slots of block-wise transfers: who holds one, who gives one up.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "requests/core_driver_test_support.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

using requests_test::AskBlock;
using requests_test::core_driver;
using requests_test::FileBlock;
using requests_test::FlowOf;
using requests_test::Request;
using requests_test::upstream_request;

constexpr uint32_t kSlots = 2;
constexpr int kMostAhead = 2;
// So short that no deadline passes behind others.
constexpr absl::Duration kLongestRun = absl::Milliseconds(400);
// Probes of legs are answered within this time.
constexpr absl::Duration kProbeAnswerTime = absl::Milliseconds(100);

// Callers that read files from one core, and its upstream, which answers in
// any order.
class reader_bench {
 public:
  reader_bench() : driver_(1, kSlots) { driver_.WarmUp(); }

  core_driver& driver() { return driver_; }
  size_t AtUpstream() const { return asked_.size(); }
  size_t Waiting() const { return waiting_; }
  int Shed() const { return shed_; }

  // The next block of this reader; `ahead`: whether the last one is answered
  // or not.
  void Ask(uint16_t reader, bool ahead) {
    file& read = files_[reader];
    if (read.open > 0 && !(ahead && read.begun && read.open < kMostAhead)) {
      return;
    }
    ++read.open;
    coap_message question = AskBlock(read.next++);
    question.type = message_type::kNonConfirmable;
    driver_.FromCaller(FlowOf(reader), question);
    Settle();
  }
  void AskOther() {
    driver_.FromCaller(FlowOf(99), Request(kGetCode, "items", "o"));
    Settle();
  }
  void AnswerOne() {
    if (!asked_.empty()) {
      AnswerAt(*rc::gen::inRange<size_t>(0, asked_.size()));
    }
  }
  void Pass(absl::Duration by) {
    // No run takes so long that a deadline ends it.
    while (!asked_.empty() &&
           driver_.now() + by > asked_.front().since + kLongestRun) {
      AnswerAt(0);
    }
    const absl::Time end = driver_.now() + by;
    while (driver_.now() < end) {
      driver_.Advance(std::min(end - driver_.now(), kProbeAnswerTime));
      driver_.AnswerProbes(0);
    }
    Settle();
  }
  void AnswerAll() {
    while (!asked_.empty()) {
      AnswerAt(0);
    }
  }

 private:
  struct file {
    uint32_t next = 0;
    int open = 0;
    bool begun = false;
  };
  struct running {
    upstream_request request;
    absl::Time since;
  };

  void AnswerAt(size_t index) {
    const upstream_request request = asked_[index].request;
    asked_.erase(asked_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto block = FindBlock(request.message, option_number::kBlock2);
    driver_.Answer(
        request, FileBlock(block ? block->number : 0, block.has_value(), "e"));
    Settle();
  }
  void Settle() {
    for (const upstream_request& request : driver_.upstream) {
      asked_.push_back({request, driver_.now()});
    }
    driver_.upstream.clear();
    for (auto& [reader, read] : files_) {
      for (const coap_message& told : driver_.callers[FlowOf(reader)]) {
        --read.open;
        const bool given = told.code == kContentCode;
        shed_ += read.begun && !given ? 1 : 0;
        read = given ? file{read.next, read.open, true} : file{};
      }
      driver_.callers[FlowOf(reader)].clear();
    }
    CountWaiting();
  }
  void CountWaiting() {
    waiting_ = 0;
    for (const auto& [reader, read] : files_) {
      waiting_ += read.begun ? read.open : 0;
    }
    for (const running& run : asked_) {
      const auto block = FindBlock(run.request.message, option_number::kBlock2);
      waiting_ -= block && block->number > 0 ? 1 : 0;
    }
  }

  core_driver driver_;
  std::map<uint16_t, file> files_;
  std::deque<running> asked_;
  size_t waiting_ = 0;
  int shed_ = 0;
};

void ReadInAnyOrder(reader_bench* bench, bool ahead) {
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        bench->Ask(*rc::gen::inRange<uint16_t>(1, 6), ahead);
        break;
      case 2:
        bench->AskOther();
        break;
      case 3:
        bench->AnswerOne();
        break;
      default:
        bench->Pass(absl::Milliseconds(*rc::gen::inRange(0, 1500)));
        break;
    }
    RC_ASSERT(bench->AtUpstream() <= kSlots);
    // A block waits for work in the upstream, not for a caller's silence.
    RC_ASSERT(bench->Waiting() == 0U || bench->AtUpstream() == kSlots);
    RC_ASSERT(bench->Shed() == 0);
  }
}

void AssertNothingIsHeld(reader_bench* bench) {
  bench->AnswerAll();
  bench->Pass(absl::Seconds(300));
  RC_ASSERT(bench->driver().core().Load().used == 0U);
  bench->driver().core().BeginDrain(bench->driver().now());
  RC_ASSERT(bench->driver().core().Drained());
}

}  // namespace

RC_BOOST_PROP(a_block_that_waits_takes_the_slot_of_an_idle_transfer, ()) {
  reader_bench bench;
  ReadInAnyOrder(&bench, /*ahead=*/false);
  AssertNothingIsHeld(&bench);
}

RC_BOOST_PROP(blocks_asked_for_ahead_leave_no_slot_behind, ()) {
  reader_bench bench;
  ReadInAnyOrder(&bench, /*ahead=*/true);
  AssertNothingIsHeld(&bench);
}

RC_BOOST_PROP(a_dropped_flow_that_returns_is_idle_after_its_requests, ()) {
  core_driver driver(1, kSlots);
  const flow_key flow = FlowOf(1);
  const auto blocks = *rc::gen::inRange<uint32_t>(1, 5);
  for (uint32_t number = 0; number < blocks; ++number) {
    driver.FromCaller(flow, AskBlock(number));
    driver.Answer(driver.upstream.back(), FileBlock(number, true, "e"));
  }
  driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 8000)));
  driver.Take(driver.core().DropFlow(flow, driver.now()));
  driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 8000)));
  driver.FromCaller(flow, Request(kGetCode, "items", "f"));
  driver.Answer(driver.upstream.back(), FileBlock(0, false, "e"));
  driver.Advance(absl::Seconds(10));
  driver.core().BeginDrain(driver.now());
  RC_ASSERT(driver.core().Drained());
  RC_ASSERT(driver.core().Load().used == 0U);
}

}  // namespace cardamomroute
