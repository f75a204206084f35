#include "routing/load_book.h"

#include <algorithm>
#include <cmath>

namespace cardamomroute {
namespace {

/// A target that starts cold takes its full share after this time.
constexpr absl::Duration kRampTime = absl::Seconds(10);
/// Share of its slots that a target takes at first.
constexpr double kRampStart = 0.1;
constexpr absl::Duration kRefusalTime = absl::Seconds(1);
constexpr double kHundredths = 100;

double RampShare(absl::Time started_at, absl::Time now) {
  const double passed =
      absl::FDivDuration(now - started_at, kRampTime) * (1 - kRampStart);
  return std::clamp(kRampStart + passed, kRampStart, 1.0);
}

}  // namespace

void load_book::OnOwnLoad(uint32_t busy_slots, uint32_t slots, uint32_t queued,
                          absl::Time now) {
  own_.busy_slots = busy_slots;
  own_.queued = queued;
  own_.measured_at = now;
  slots_ = std::max(1U, slots);
}

void load_book::OnOwnReport(double free_share) {
  own_.reported_free_share =
      std::isnan(free_share) ? 1 : std::clamp(free_share, 0.0, 1.0);
}

void load_book::OnPeerLoad(const packet_header& header, absl::Time now) {
  load_sample& sample = peers_[header.sender].sample;
  sample.busy_slots = header.busy_slots;
  sample.queued = header.queued;
  sample.held_flows = header.held_flows;
  sample.usable_slots = header.slots / kHundredths;
  sample.measured_at = now;
}

void load_book::OnGrant(target_id peer) {
  load_sample& sample = peers_[peer].sample;
  ++sample.held_flows;
  ++sample.queued;
}

void load_book::OnRefusal(target_id peer, absl::Time now) {
  peers_[peer].refuses_until = now + kRefusalTime;
}

bool load_book::IsRefusing(target_id peer, absl::Time now) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() && now < found->second.refuses_until;
}

load_sample load_book::Own(uint32_t held_flows, absl::Time now) const {
  load_sample sample = own_;
  sample.held_flows = held_flows - std::min(observing_flows_, held_flows);
  sample.usable_slots =
      slots_ * std::min(RampShare(started_at_, now), own_.reported_free_share);
  return sample;
}

load_sample load_book::Peer(target_id peer) const {
  const auto found = peers_.find(peer);
  return found != peers_.end() ? found->second.sample : load_sample{};
}

void load_book::FillHeader(uint32_t held_flows, absl::Time now,
                           packet_header* header) const {
  const load_sample sample = Own(held_flows, now);
  header->busy_slots = sample.busy_slots;
  header->queued = sample.queued;
  header->held_flows = sample.held_flows;
  header->slots =
      static_cast<uint32_t>(std::lround(sample.usable_slots * kHundredths));
}

}  // namespace cardamomroute
