#include "routing/placement_strategy.h"

#include <algorithm>

namespace cardamomroute {
namespace {

/// Samples older than this say nothing about the present.
constexpr absl::Duration kSampleLifetime = absl::Seconds(5);
constexpr double kLeastUsableSlots = 0.01;

/// What waits, or runs beyond the usable slots, for each of them.
double ExcessPerSlot(const load_sample& load) {
  const double usable = std::max(load.usable_slots, kLeastUsableSlots);
  const double work = load.busy_slots + load.queued;
  return std::max(work - usable, 0.0) / usable;
}

double FlowsPerSlot(const load_sample& load) {
  return load.held_flows / std::max(load.usable_slots, kLeastUsableSlots);
}

class home_only_placement : public placement_strategy {
 public:
  std::string_view name() const override { return "home_only"; }
  bool PrefersCandidate(const load_sample& /*home*/,
                        const load_sample& /*candidate*/,
                        absl::Time /*now*/) const override {
    return false;
  }
};

class measured_load_placement : public placement_strategy {
 public:
  std::string_view name() const override { return "measured_load"; }
  bool PrefersCandidate(const load_sample& home, const load_sample& candidate,
                        absl::Time now) const override {
    if (now - candidate.measured_at > kSampleLifetime) {
      return false;
    }
    const double home_excess = ExcessPerSlot(home);
    const double candidate_excess = ExcessPerSlot(candidate);
    if (home_excess != candidate_excess) {
      return candidate_excess < home_excess;
    }
    return FlowsPerSlot(candidate) < FlowsPerSlot(home);
  }
};

class reported_load_placement : public placement_strategy {
 public:
  std::string_view name() const override { return "reported_load"; }
  bool PrefersCandidate(const load_sample& home, const load_sample& candidate,
                        absl::Time /*now*/) const override {
    return candidate.reported_free_share > home.reported_free_share;
  }
};

}  // namespace

const placement_strategy& HomeOnlyPlacement() {
  static const home_only_placement kStrategy;
  return kStrategy;
}

const placement_strategy& MeasuredLoadPlacement() {
  static const measured_load_placement kStrategy;
  return kStrategy;
}

const placement_strategy& ReportedLoadPlacement() {
  static const reported_load_placement kStrategy;
  return kStrategy;
}

}  // namespace cardamomroute
