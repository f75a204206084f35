#include "load/submission_run.h"

#include <algorithm>

#include "base/concat.h"

namespace cardamomroute::load {
namespace {

constexpr absl::Duration kLongestAsk = absl::Seconds(10);
constexpr int kServices = 11;

// Two texts in turn; no address moves.
std::string TextOf(uint64_t number) {
  std::string list;
  for (int i = 0; i < kServices + static_cast<int>(number % 2); ++i) {
    list += Concat(i == 0 ? "" : ",", R"({"name":"service-)", i,
                   R"(","address":"192.0.2.)", i + 1,
                   R"(:5683","protocol":"datagram"})");
  }
  return Concat(R"({"services":[)", list, "]}");
}

}  // namespace

submission_run::submission_run(const std::vector<endpoint>& control)
    : client_(link_, control),
      run_id_(Concat("measure-", absl::ToUnixNanos(link_.Now()))) {}

void submission_run::Run(uint64_t count, absl::Duration length) {
  ReadBase();
  last_accepted_ = link_.Now();
  const absl::Time until = last_accepted_ + length;
  for (uint64_t i = 0; latencies_ms_.size() < count && link_.Now() < until;
       ++i) {
    SubmitOne(i);
  }
}

void submission_run::ReadBase() {
  inner::operator_request show;
  show.set_command("show");
  base_ = client_.Ask(show, link_.Now() + kLongestAsk);
}

void submission_run::SubmitOne(uint64_t number) {
  inner::operator_request request;
  request.set_command("apply");
  request.set_text(TextOf(number));
  request.set_submission_id(Concat(run_id_, "-", number));
  request.set_base_version(base_.version());
  request.set_base_digest(base_.digest());
  const absl::Time asked = link_.Now();
  const inner::operator_answer answer =
      client_.Ask(request, asked + kLongestAsk);
  if (answer.code() != "accepted") {
    ++refused_;
    ReadBase();
    return;
  }
  base_ = answer;
  OnAccepted(asked, link_.Now());
}

void submission_run::OnAccepted(absl::Time asked, absl::Time now) {
  latencies_ms_.push_back(absl::ToDoubleMilliseconds(now - asked));
  longest_gap_ = std::max(longest_gap_, now - last_accepted_);
  last_accepted_ = now;
}

}  // namespace cardamomroute::load
