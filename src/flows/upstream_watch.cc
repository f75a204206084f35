#include "flows/upstream_watch.h"

#include <algorithm>

namespace cardamomroute {
namespace {

// Heartbeats that may be missing before an upstream counts as gone.
constexpr int kMissedBeats = 3;

// A heartbeat up to this number is one of the first of its incarnation.
constexpr uint64_t kFirstBeats = 2;

}  // namespace

upstream_watch::upstream_watch(absl::Duration beat_interval)
    : lease_((kMissedBeats + 1) * beat_interval) {}

// An incarnation that started earlier has ended, unless the present one is
// silent: the clock that the time of start comes from may have gone back.
bool upstream_watch::IsFormer(const incarnation& other, absl::Time now) const {
  if (std::find(former_.begin(), former_.end(), other) != former_.end()) {
    return true;
  }
  return other.started_ms < present_.started_ms && !IsSilent(now);
}

beat_outcome upstream_watch::OnBeat(const upstream_beat& beat, absl::Time now) {
  const incarnation sender{beat.id, beat.started_ms.value_or(0)};
  const bool is_present = !present_.id.empty() && sender == present_;
  if (is_present ? beat.sequence <= sequence_ : IsFormer(sender, now)) {
    return beat_outcome::kLate;
  }
  if (!is_present) {
    if (!present_.id.empty()) {
      former_.push_back(present_);
    }
    if (former_.size() > kFormerIncarnations) {
      former_.pop_front();
    }
    present_ = sender;
    state_ = upstream_state::kServing;
    has_ended_ = false;
    has_left_ = false;
    heard_from_start_ = beat.sequence <= kFirstBeats;
  } else if (has_ended_ && !has_left_) {
    OnPacket();
  }
  sequence_ = beat.sequence;
  slots_ = beat.slots;
  silent_at_ = now + lease_;
  // Whoever drains ends after it.
  if (beat.draining && state_ == upstream_state::kServing) {
    state_ = upstream_state::kDraining;
  }
  return is_present ? beat_outcome::kTaken : beat_outcome::kNewIncarnation;
}

void upstream_watch::OnLeave(const std::string& id) {
  if (!id.empty() && id == present_.id) {
    has_left_ = true;
    OnRefused();
  }
}

void upstream_watch::OnRefused() { has_ended_ = true; }

void upstream_watch::OnPacket() {
  if (has_ended_ && !has_left_) {
    has_ended_ = false;
    heard_from_start_ = false;
  }
}

upstream_state upstream_watch::State(absl::Time now) const {
  if (has_ended_) {
    return upstream_state::kEnded;
  }
  return IsSilent(now) ? upstream_state::kAbsent : state_;
}

}  // namespace cardamomroute
