#include "requests/leg_pool.h"

#include <algorithm>

namespace cardamomroute {
namespace {

constexpr size_t kMinPlaces = 1;

}  // namespace

leg_pool::leg_pool(size_t places, uint64_t seed)
    : legs_(std::max(places, kMinPlaces) + 1), seed_(seed) {}

std::optional<size_t> leg_pool::PlaceOfLeg(leg_id leg) const {
  const auto it = places_.find(leg);
  return it == places_.end() ? std::nullopt : std::optional(it->second);
}

leg_id leg_pool::Open(size_t place, absl::Time now) {
  Close(place);
  upstream_leg& leg = legs_[place];
  leg = upstream_leg();
  leg.id = next_leg_++;
  leg.next_id = static_cast<uint16_t>(seed_ * 40503 + uint64_t{leg.id} * 9973);
  leg.unanswered_since = now;
  places_.emplace(leg.id, place);
  return leg.id;
}

void leg_pool::Close(size_t place) {
  places_.erase(legs_[place].id);
  legs_[place].id = 0;
}

void leg_pool::OnSent(size_t place, absl::Time now) {
  upstream_leg& leg = legs_[place];
  if (leg.unanswered_since <= leg.heard_at) {
    leg.unanswered_since = now;
  }
}

absl::Time leg_pool::IdleSince(size_t place) const {
  return std::max(legs_[place].heard_at, legs_[place].unanswered_since);
}

void leg_pool::OnHeard(size_t place, absl::Time now) {
  legs_[place].heard_at = now;
  legs_[place].probes = 0;
}

bool leg_pool::OthersHeardSince(size_t place, absl::Time since) const {
  for (size_t other = 0; other < legs_.size(); ++other) {
    const upstream_leg& leg = legs_[other];
    if (other != place && leg.id != 0 && leg.heard_at > since) {
      return true;
    }
  }
  return false;
}

leg_health leg_pool::Check(size_t place, absl::Duration quiet, absl::Time now) {
  upstream_leg& leg = legs_[place];
  if (now < IdleSince(place) + quiet) {
    return leg_health::kAlive;
  }
  if (leg.probes >= kProbesBeforeLost &&
      OthersHeardSince(place, leg.first_probe_at)) {
    return leg_health::kLost;
  }
  if (leg.probes++ == 0) {
    leg.first_probe_at = now;
  }
  return leg_health::kProbe;
}

absl::Time leg_pool::NextCheck(size_t place, absl::Duration quiet,
                               absl::Time now) const {
  const upstream_leg& leg = legs_[place];
  return leg.probes > 0 ? now + kProbeInterval
                        : std::max(IdleSince(place) + quiet, now);
}

bool leg_pool::IsUnanswered(size_t place) const {
  const upstream_leg& leg = legs_[place];
  return leg.id != 0 && leg.unanswered_since > leg.heard_at;
}

bool leg_pool::IsAnswerPending(size_t place, absl::Time now) const {
  return IsUnanswered(place) &&
         now < legs_[place].unanswered_since + kProbeInterval;
}

}  // namespace cardamomroute
