#ifndef CARDAMOMROUTE_LOAD_SUBMISSION_RUN_H_
#define CARDAMOMROUTE_LOAD_SUBMISSION_RUN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "absl/time/time.h"
#include "base/endpoint.h"
#include "cardamomroute/zmq_control_link.h"
#include "inner/node.pb.h"
#include "operators/operator_client.h"

namespace cardamomroute::load {

/// Submits texts one after the other to a control group and notes how long
/// each took to be accepted.
class submission_run {
 public:
  explicit submission_run(const std::vector<endpoint>& control);

  /// Ends after `count` accepted texts or at the end of `length`, whichever
  /// comes first.
  void Run(uint64_t count, absl::Duration length);

  const std::vector<double>& latencies_ms() const { return latencies_ms_; }
  /// Longest time between two accepted texts.
  absl::Duration longest_gap() const { return longest_gap_; }
  /// Answers other than accepted.
  uint64_t refused() const { return refused_; }

 private:
  /// The text in force as the base of the next submission.
  void ReadBase();
  void SubmitOne(uint64_t number);
  void OnAccepted(absl::Time asked, absl::Time now);

  zmq_control_link link_;
  operator_client client_;
  const std::string run_id_;
  inner::operator_answer base_;
  absl::Time last_accepted_;
  std::vector<double> latencies_ms_;
  absl::Duration longest_gap_;
  uint64_t refused_ = 0;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SUBMISSION_RUN_H_
