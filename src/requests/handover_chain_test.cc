// Tests repeated handovers of one flow: no write runs twice, and the state that
// each handover passes on stays bounded.
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
using requests_test::WriteWithEcho;

constexpr int kMaxSteps = 70;
constexpr size_t kMaxWrites = 6;
// Bound for a snapshot with up to kMaxWrites answered writes and the
// credentials of all former holders.
constexpr size_t kMaxSnapshotBytes = 8000;

struct chained_write {
  coap_message message;
  int issued_after_handovers = 0;
  int runs = 0;
};

// Hands one flow over along a chain of cores. The list of live targets of each
// core contains only the core itself.
class handover_chain {
 public:
  handover_chain() {
    AddCore();
    IssueWrite();
  }

  int handovers() const { return static_cast<int>(cores_.size()) - 1; }
  core_driver& holder() { return *cores_.back(); }

  void HandOver() {
    core_driver& from = holder();
    from.RecordActions(from.core().BeginDrain(from.now()));
    from.Advance(absl::Milliseconds(*rc::gen::element(0, 100, 6000)));
    const auto state = from.core().ExportFlow(kFlow, from.now());
    RC_ASSERT(state.has_value());
    RC_ASSERT(state->size() < kMaxSnapshotBytes);
    AddCore();
    const auto actions =
        holder().core().ImportFlow(kFlow, *state, holder().now());
    holder().RecordActions(actions.value());
    RC_ASSERT(holder().core().inherited_credentials() <= kMaxFormerHolders);
  }
  void IssueWrite() {
    if (writes_.size() < kMaxWrites) {
      const std::string payload = std::to_string(writes_.size());
      chained_write write;
      write.message = WriteWithEcho(&holder(), kFlow, payload.c_str());
      write.issued_after_handovers = handovers();
      writes_.push_back(write);
    }
  }
  // Sends a random issued write, possibly not for the first time.
  void SendWrite() {
    if (writes_.empty()) {
      return;
    }
    chained_write& write =
        writes_[*rc::gen::inRange<size_t>(0, writes_.size())];
    holder().DeliverFromCaller(kFlow, write.message);
    const bool runs = !holder().upstream_requests.empty();
    if (runs) {
      ++write.runs;
      holder().Answer(holder().upstream_requests.back(),
                      Answer(kChangedCode, "done"));
      holder().upstream_requests.clear();
    }
    RC_ASSERT(write.runs <= 1);
    const coap_message& response = holder().caller_responses[kFlow].back();
    if (write.runs == 0) {
      const bool credential_is_known =
          handovers() - write.issued_after_handovers <= kMaxFormerHolders;
      RC_ASSERT(response.code == (credential_is_known ? kUnauthorizedCode
                                                      : kGatewayTimeoutCode));
    } else if (response.code != kChangedCode) {
      // The record of the write has expired, and its Echo value before that.
      RC_ASSERT(response.code == kUnauthorizedCode ||
                response.code == kGatewayTimeoutCode);
    }
  }

 private:
  inline static const flow_key kFlow = FlowOf(9);

  void AddCore() {
    const target_id incarnation = cores_.size() + 1;
    cores_.push_back(std::make_unique<core_driver>(incarnation));
    holder().core().OnLiveTargets({incarnation});
  }

  std::vector<std::unique_ptr<core_driver>> cores_;
  std::vector<chained_write> writes_;
};

}  // namespace

RC_BOOST_PROP(repeated_handovers_run_no_write_twice_and_bound_credentials, ()) {
  handover_chain chain;
  const int steps = *rc::gen::inRange(1, kMaxSteps);
  for (int step = 0; step < steps; ++step) {
    switch (*rc::gen::inRange(0, 4)) {
      case 2:
        chain.IssueWrite();
        break;
      case 3:
        chain.SendWrite();
        break;
      default:
        chain.HandOver();
        break;
    }
  }
  chain.SendWrite();
}

}  // namespace cardamomroute
