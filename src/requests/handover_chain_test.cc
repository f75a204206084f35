// A flow that is handed over many times in a row.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "requests/core_driver_test_support.h"
#include "requests/request_answers.h"
#include "requests/request_core.h"

namespace cardamomroute {
namespace {

using requests_test::Answer;
using requests_test::core_driver;
using requests_test::FlowOf;
using requests_test::FreshWrite;

constexpr int kMostSteps = 70;
constexpr size_t kMostWrites = 6;
// A snapshot of a few answered writes and all credentials that go along.
constexpr size_t kMostSnapshotBytes = 8000;

struct chained_write {
  coap_message message;
  int issued_at = 0;
  int runs = 0;
};

// One flow, handed from core to core; each knows only itself to be alive.
class handover_chain {
 public:
  handover_chain() {
    Add();
    Issue();
  }

  int handovers() const { return static_cast<int>(cores_.size()) - 1; }
  core_driver& holder() { return *cores_.back(); }

  void HandOver() {
    core_driver& from = holder();
    from.Take(from.core().BeginDrain(from.now()));
    from.Advance(absl::Milliseconds(*rc::gen::element(0, 100, 6000)));
    const auto state = from.core().ExportFlow(kFlow, from.now());
    RC_ASSERT(state.has_value());
    RC_ASSERT(state->size() < kMostSnapshotBytes);
    Add();
    const auto taken =
        holder().core().ImportFlow(kFlow, *state, holder().now());
    holder().Take(taken.value());
    RC_ASSERT(holder().core().inherited_credentials() <= kMaxFormerHolders);
  }
  void Issue() {
    if (writes_.size() < kMostWrites) {
      const std::string payload = std::to_string(writes_.size());
      chained_write write;
      write.message = FreshWrite(&holder(), kFlow, payload.c_str());
      write.issued_at = handovers();
      writes_.push_back(write);
    }
  }
  // Sends a write for the first time or again.
  void Send() {
    if (writes_.empty()) {
      return;
    }
    chained_write& write =
        writes_[*rc::gen::inRange<size_t>(0, writes_.size())];
    holder().FromCaller(kFlow, write.message);
    const bool runs = !holder().upstream.empty();
    if (runs) {
      ++write.runs;
      holder().Answer(holder().upstream.back(), Answer(kChangedCode, "done"));
      holder().upstream.clear();
    }
    RC_ASSERT(write.runs <= 1);
    const coap_message& told = holder().callers[kFlow].back();
    if (write.runs == 0) {
      const bool judged = handovers() - write.issued_at <= kMaxFormerHolders;
      RC_ASSERT(told.code ==
                (judged ? kUnauthorizedCode : kGatewayTimeoutCode));
    } else if (told.code != kChangedCode) {
      // Its record has expired, and its Echo value long before.
      RC_ASSERT(told.code == kUnauthorizedCode ||
                told.code == kGatewayTimeoutCode);
    }
  }

 private:
  inline static const flow_key kFlow = FlowOf(9);

  void Add() {
    const target_id incarnation = cores_.size() + 1;
    cores_.push_back(std::make_unique<core_driver>(incarnation));
    holder().core().OnLiveTargets({incarnation});
  }

  std::vector<std::unique_ptr<core_driver>> cores_;
  std::vector<chained_write> writes_;
};

}  // namespace

RC_BOOST_PROP(many_handovers_run_nothing_twice_and_keep_few_credentials, ()) {
  handover_chain chain;
  const int steps = *rc::gen::inRange(1, kMostSteps);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 4)) {
      case 2:
        chain.Issue();
        break;
      case 3:
        chain.Send();
        break;
      default:
        chain.HandOver();
        break;
    }
  }
  chain.Send();
}

}  // namespace cardamomroute
