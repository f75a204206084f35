// Tests which block-wise transfers hold a slot and when they release it.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "requests/core_driver_test_support.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

using requests_test::core_driver;
using requests_test::DownloadBlock;
using requests_test::DownloadRequest;
using requests_test::FlowOf;
using requests_test::Request;
using requests_test::upstream_message;

constexpr uint32_t kSlots = 2;
constexpr int kMaxPipelined = 2;
// Short enough that no request reaches its deadline while it waits for others.
constexpr absl::Duration kMaxRunTime = absl::Milliseconds(400);
// Longest time until a leg's probe is answered.
constexpr absl::Duration kProbeResponseTime = absl::Milliseconds(100);

// Simulates callers that download files through one core from an upstream that
// answers in any order.
class download_simulation {
 public:
  download_simulation() : driver_(1, kSlots) { driver_.WarmUp(); }

  core_driver& driver() { return driver_; }
  size_t RunningCount() const { return running_.size(); }
  size_t WaitingCount() const { return waiting_; }
  int ShedCount() const { return shed_; }

  // Requests the next block of a reader's download. Does nothing while an
  // earlier request is unanswered, unless `pipelined` allows up to
  // kMaxPipelined pending requests in a download that has started.
  void RequestNextBlock(uint16_t reader, bool pipelined) {
    download& download_state = downloads_[reader];
    if (download_state.pending > 0 &&
        !(pipelined && download_state.has_started &&
          download_state.pending < kMaxPipelined)) {
      return;
    }
    ++download_state.pending;
    coap_message block_request = DownloadRequest(download_state.next++);
    block_request.type = message_type::kNonConfirmable;
    driver_.DeliverFromCaller(FlowOf(reader), block_request);
    ProcessMessages();
  }
  void RequestOther() {
    driver_.DeliverFromCaller(FlowOf(99), Request(kGetCode, "items", "o"));
    ProcessMessages();
  }
  void AnswerOne() {
    if (!running_.empty()) {
      AnswerAt(*rc::gen::inRange<size_t>(0, running_.size()));
    }
  }
  void AdvanceClock(absl::Duration by) {
    // Answers each request within kMaxRunTime, before its deadline.
    while (!running_.empty() &&
           driver_.now() + by > running_.front().started_at + kMaxRunTime) {
      AnswerAt(0);
    }
    const absl::Time end = driver_.now() + by;
    while (driver_.now() < end) {
      driver_.Advance(std::min(end - driver_.now(), kProbeResponseTime));
      driver_.AnswerProbes(0);
    }
    ProcessMessages();
  }
  void AnswerAll() {
    while (!running_.empty()) {
      AnswerAt(0);
    }
  }

 private:
  struct download {
    uint32_t next = 0;
    int pending = 0;
    bool has_started = false;
  };
  struct running_request {
    upstream_message request;
    absl::Time started_at;
  };

  void AnswerAt(size_t index) {
    const upstream_message request = running_[index].request;
    running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(index));
    const auto block = FindBlock(request.message, option_number::kBlock2);
    driver_.Answer(request, DownloadBlock(block ? block->number : 0,
                                          block.has_value(), "e"));
    ProcessMessages();
  }
  void ProcessMessages() {
    for (const upstream_message& request : driver_.upstream_requests) {
      running_.push_back({request, driver_.now()});
    }
    driver_.upstream_requests.clear();
    for (auto& [reader, download_state] : downloads_) {
      for (const coap_message& response :
           driver_.caller_responses[FlowOf(reader)]) {
        --download_state.pending;
        const bool succeeded = response.code == kContentCode;
        shed_ += download_state.has_started && !succeeded ? 1 : 0;
        download_state = succeeded ? download{download_state.next,
                                              download_state.pending, true}
                                   : download{};
      }
      driver_.caller_responses[FlowOf(reader)].clear();
    }
    UpdateWaitingCount();
  }
  void UpdateWaitingCount() {
    waiting_ = 0;
    for (const auto& [reader, download_state] : downloads_) {
      waiting_ += download_state.has_started ? download_state.pending : 0;
    }
    for (const running_request& run : running_) {
      const auto block = FindBlock(run.request.message, option_number::kBlock2);
      waiting_ -= block && block->number > 0 ? 1 : 0;
    }
  }

  core_driver driver_;
  std::map<uint16_t, download> downloads_;
  std::deque<running_request> running_;
  size_t waiting_ = 0;
  int shed_ = 0;
};

void RunRandomSteps(download_simulation* simulation, bool pipelined) {
  const int steps = *rc::gen::inRange(1, 80);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
      case 1:
        simulation->RequestNextBlock(*rc::gen::inRange<uint16_t>(1, 6),
                                     pipelined);
        break;
      case 2:
        simulation->RequestOther();
        break;
      case 3:
        simulation->AnswerOne();
        break;
      default:
        simulation->AdvanceClock(
            absl::Milliseconds(*rc::gen::inRange(0, 1500)));
        break;
    }
    RC_ASSERT(simulation->RunningCount() <= kSlots);
    // A block waits only while running requests use all slots, never for a
    // transfer that is idle between two requests of its caller.
    RC_ASSERT(simulation->WaitingCount() == 0U ||
              simulation->RunningCount() == kSlots);
    RC_ASSERT(simulation->ShedCount() == 0);
  }
}

void AssertNoSlotHeld(download_simulation* simulation) {
  simulation->AnswerAll();
  simulation->AdvanceClock(absl::Seconds(300));
  RC_ASSERT(simulation->driver().core().Load().used == 0U);
  simulation->driver().core().BeginDrain(simulation->driver().now());
  RC_ASSERT(simulation->driver().core().Drained());
}

}  // namespace

RC_BOOST_PROP(a_waiting_block_takes_the_slot_of_an_idle_transfer, ()) {
  download_simulation simulation;
  RunRandomSteps(&simulation, /*pipelined=*/false);
  AssertNoSlotHeld(&simulation);
}

RC_BOOST_PROP(pipelined_block_requests_release_their_slots, ()) {
  download_simulation simulation;
  RunRandomSteps(&simulation, /*pipelined=*/true);
  AssertNoSlotHeld(&simulation);
}

RC_BOOST_PROP(a_dropped_flow_that_returns_becomes_idle, ()) {
  core_driver driver(1, kSlots);
  const flow_key flow = FlowOf(1);
  const auto blocks = *rc::gen::inRange<uint32_t>(1, 5);
  for (uint32_t number = 0; number < blocks; ++number) {
    driver.DeliverFromCaller(flow, DownloadRequest(number));
    driver.Answer(driver.upstream_requests.back(),
                  DownloadBlock(number, true, "e"));
  }
  driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 8000)));
  driver.RecordActions(driver.core().DropFlow(flow, driver.now()));
  driver.Advance(absl::Milliseconds(*rc::gen::inRange(0, 8000)));
  driver.DeliverFromCaller(flow, Request(kGetCode, "items", "f"));
  driver.Answer(driver.upstream_requests.back(), DownloadBlock(0, false, "e"));
  driver.Advance(absl::Seconds(10));
  driver.core().BeginDrain(driver.now());
  RC_ASSERT(driver.core().Drained());
  RC_ASSERT(driver.core().Load().used == 0U);
}

}  // namespace cardamomroute
