#include "load/placement_baselines.h"

namespace cardamomroute::load {
namespace {

class busy_slots_placement : public placement_strategy {
 public:
  std::string_view name() const override { return "busy_slots"; }
  bool PrefersCandidate(const load_sample& home, const load_sample& candidate,
                        absl::Time /*now*/) const override {
    const double home_work = PerSlot(home, home.busy_slots + home.queued);
    const double candidate_work =
        PerSlot(candidate, candidate.busy_slots + candidate.queued);
    if (home_work != candidate_work) {
      return candidate_work < home_work;
    }
    return PerSlot(candidate, candidate.held_flows) <
           PerSlot(home, home.held_flows);
  }

 private:
  static double PerSlot(const load_sample& load, uint32_t count) {
    return count / load.usable_slots;
  }
};

}  // namespace

const placement_strategy& BusySlotsPlacement() {
  static const busy_slots_placement kStrategy;
  return kStrategy;
}

}  // namespace cardamomroute::load
