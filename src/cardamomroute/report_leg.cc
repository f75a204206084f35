#include "cardamomroute/report_leg.h"

#include <sodium.h>

#include <algorithm>
#include <utility>

#include "base/bytes.h"
#include "base/log.h"
#include "cardamomroute/event_loop.h"
#include "cardamomroute/steady_time.h"

namespace cardamomroute {
namespace {

constexpr size_t kBatch = 4;
/// Unanswered questions after which the way there is taken as lost.
constexpr uint32_t kMostMissed = 3;

uint64_t RandomSeed() {
  uint64_t seed = 0;
  randombytes_buf(&seed, sizeof(seed));
  return seed;
}

}  // namespace

report_leg::report_leg(const endpoint& upstream, const std::string& path,
                       uint32_t slots, event_loop* loop)
    : upstream_(upstream),
      loop_(loop),
      reader_(path, RandomSeed()),
      judge_(slots),
      received_(kBatch) {
  Reopen();
}

report_leg::~report_leg() {
  if (socket_.fd() >= 0) {
    loop_->Unwatch(socket_.fd());
  }
}

void report_leg::Reopen() {
  if (socket_.fd() >= 0) {
    loop_->Unwatch(socket_.fd());
  }
  auto opened = udp_socket::Connect(upstream_);
  if (opened.has_error()) {
    socket_ = udp_socket();
    log_line(log_level::kError, "report-leg")
        .With("error", Describe(opened.error()));
    return;
  }
  socket_ = std::move(opened).value();
  loop_->Watch(socket_.fd(), [this] { Receive(); });
}

double report_leg::OnTick(uint32_t own_busy, absl::Time now) {
  own_busy_ = std::max(own_busy_, own_busy);
  const uint32_t missed = reader_.missed();
  if (const auto question = reader_.TakeDuePoll(now)) {
    own_busy_ = own_busy;
    if (reader_.missed() > missed) {
      Note(poll_verdict::kMissing);
    }
    if (socket_.fd() < 0 ||
        (reader_.missed() > missed && reader_.missed() % kMostMissed == 0)) {
      Reopen();
    }
    if (socket_.fd() >= 0) {
      socket_.Send(AsBytes(*question));
    }
  }
  return judge_.Share(now);
}

void report_leg::Receive() {
  socket_.Receive(&received_);
  // An upstream that is gone is the request core's matter.
  socket_.TakeRefused();
  const absl::Time now = SteadyNow();
  for (size_t i = 0; i < received_.size(); ++i) {
    const poll_result reading =
        reader_.OnDatagram(AsText(received_.Bytes(i)), now);
    if (!reading.reply.empty()) {
      socket_.Send(AsBytes(reading.reply));
    }
    if (reading.verdict == poll_verdict::kTaken) {
      judge_.OnReport(reading.report, own_busy_, reading.asked_at);
    }
    if (reading.verdict != poll_verdict::kNone) {
      Note(reading.verdict);
    }
  }
}

void report_leg::Note(poll_verdict verdict) {
  if (std::exchange(last_verdict_, verdict) == verdict) {
    return;
  }
  const bool is_taken = verdict == poll_verdict::kTaken;
  log_line(is_taken ? log_level::kInfo : log_level::kWarn, "upstream-report")
      .With("upstream", ToString(upstream_))
      .With("reading", NameOf(verdict));
}

}  // namespace cardamomroute
