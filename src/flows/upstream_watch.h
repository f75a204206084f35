#ifndef CARDAMOMROUTE_FLOWS_UPSTREAM_WATCH_H_
#define CARDAMOMROUTE_FLOWS_UPSTREAM_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "absl/time/time.h"
#include "directory/upstream_state.h"
#include "flows/upstream_beat.h"

namespace cardamomroute {

/// Former incarnations whose late heartbeats are told from a new one's.
inline constexpr size_t kFormerIncarnations = 16;

/// What became of a heartbeat.
enum class beat_outcome : uint8_t {
  /// It tells of the upstream as it is now.
  kTaken,
  /// The first of a new incarnation.
  kNewIncarnation,
  /// It was overtaken, or is of an incarnation that has ended.
  kLate,
};

/// Follows the incarnations of the upstream beside an agent by its heartbeats,
/// which may come late, repeated, or after their sender has ended.
class upstream_watch {
 public:
  /// `beat_interval` is how often an upstream sends a heartbeat.
  explicit upstream_watch(absl::Duration beat_interval);

  beat_outcome OnBeat(const upstream_beat& beat, absl::Time now);

  /// The upstream with this id is about to end.
  void OnLeave(const std::string& id);

  /// Nobody listens at the upstream's address.
  void OnRefused();

  /// A packet of the upstream. One that was taken for ended may hold flows.
  void OnPacket();

  /// Absent where its heartbeats have ceased.
  upstream_state State(absl::Time now) const;

  uint32_t slots() const { return slots_; }

  /// True where the upstream cannot hold a flow that this process has not seen:
  /// its present incarnation was heard from its beginning, or has ended.
  bool KnowsAllFlows() const { return heard_from_start_ || has_ended_; }

 private:
  struct incarnation {
    std::string id;
    int64_t started_ms = 0;

    friend bool operator==(const incarnation& a, const incarnation& b) {
      return a.id == b.id && a.started_ms == b.started_ms;
    }
  };

  bool IsFormer(const incarnation& other, absl::Time now) const;
  bool IsSilent(absl::Time now) const { return now >= silent_at_; }

  const absl::Duration lease_;
  incarnation present_;
  std::deque<incarnation> former_;
  uint64_t sequence_ = 0;
  upstream_state state_ = upstream_state::kAbsent;
  uint32_t slots_ = 1;
  absl::Time silent_at_ = absl::InfinitePast();
  bool heard_from_start_ = false;
  bool has_ended_ = false;
  /// It has said that it ends.
  bool has_left_ = false;
};

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_FLOWS_UPSTREAM_WATCH_H_
