// Measures what requests get from the system, on its request cores in
// simulated time, beside the baselines. Prints key=value lines.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <limits>

#include "load/request_simulation.h"

namespace cardamomroute::load {
namespace {

using printed = unsigned long long;  // NOLINT(google-runtime-int): for printf

constexpr uint64_t kFirstSeed = 20261203;
constexpr uint64_t kFaultSeeds = 6;
constexpr uint64_t kLoadSeeds = 3;
constexpr double kSteadyLoad = 0.7;
constexpr double kBurstLoad = 3.0;
constexpr absl::Duration kBurstSpan = absl::Seconds(20);

struct contender {
  const char* name;
  server_kind server;
  placement_policy placement;
};

constexpr contender kOwn = {"burst", server_kind::kRequestCore,
                            placement_policy::kMeasuredLoad};
constexpr contender kBaselines[] = {
    {"baseline_first_come_first_served", server_kind::kFirstComeFirstServed,
     placement_policy::kMeasuredLoad},
    {"baseline_no_admission_limit", server_kind::kNoLimit,
     placement_policy::kMeasuredLoad},
    {"baseline_reported_load", server_kind::kRequestCore,
     placement_policy::kReportedLoad},
};

simulation_settings Burst(uint64_t seed, const contender& who) {
  simulation_settings settings;
  settings.seed = seed;
  settings.server = who.server;
  settings.placement = who.placement;
  settings.load = kBurstLoad;
  settings.span = kBurstSpan;
  settings.burst = true;
  return settings;
}

void Print(const char* key, uint64_t value) {
  std::printf("%s=%llu\n", key, static_cast<printed>(value));
}

void PrintSeeds(const char* key, uint64_t count) {
  std::printf("%s=%llu..%llu\n", key, static_cast<printed>(kFirstSeed),
              static_cast<printed>(kFirstSeed + count - 1));
}

simulation_figures MeasureBurst(uint64_t seed, const contender& who) {
  const simulation_figures figures = request_simulation(Burst(seed, who)).Run();
  std::printf(
      "%s seed=%llu worth=%.0f useful_work=%.3f imbalance=%.3f requests=%llu "
      "answered=%llu late=%llu not_run=%llu unknown=%llu\n",
      who.name, static_cast<printed>(seed), figures.worth, figures.useful_work,
      figures.imbalance, static_cast<printed>(figures.requests),
      static_cast<printed>(figures.answered),
      static_cast<printed>(figures.late), static_cast<printed>(figures.not_run),
      static_cast<printed>(figures.unknown));
  return figures;
}

void MeasureFaults() {
  simulation_figures sum;
  for (uint64_t i = 0; i < kFaultSeeds; ++i) {
    simulation_settings settings = Burst(kFirstSeed + i, kOwn);
    settings.load = i % 2 == 0 ? kSteadyLoad : kBurstLoad;
    settings.faults = true;
    const simulation_figures figures = request_simulation(settings).Run();
    sum.requests += figures.requests;
    sum.answered += figures.answered;
    sum.late += figures.late;
    sum.not_run += figures.not_run;
    sum.unknown += figures.unknown;
    sum.untold += figures.untold;
    sum.duplicate_runs += figures.duplicate_runs;
    sum.false_not_run += figures.false_not_run;
    sum.crossed_answers += figures.crossed_answers;
  }
  PrintSeeds("seeds_faults", kFaultSeeds);
  Print("requests_faults", sum.requests);
  Print("answered_faults", sum.answered);
  Print("late_faults", sum.late);
  Print("not_run_faults", sum.not_run);
  Print("unknown_faults", sum.unknown);
  Print("untold_faults", sum.untold);
  Print("duplicate_runs", sum.duplicate_runs);
  Print("false_not_run", sum.false_not_run);
  Print("crossed_answers", sum.crossed_answers);
}

void MeasureLoad() {
  double steady = 0;
  double burst = 0;
  double useful = std::numeric_limits<double>::max();
  double worth_ratio = std::numeric_limits<double>::max();
  for (uint64_t seed = kFirstSeed; seed < kFirstSeed + kLoadSeeds; ++seed) {
    simulation_settings settings;
    settings.seed = seed;
    settings.load = kSteadyLoad;
    steady = std::max(steady, request_simulation(settings).Run().imbalance);
    const simulation_figures own = MeasureBurst(seed, kOwn);
    burst = std::max(burst, own.imbalance);
    useful = std::min(useful, own.useful_work);
    for (const contender& baseline : kBaselines) {
      const simulation_figures other = MeasureBurst(seed, baseline);
      worth_ratio = std::min(worth_ratio, own.worth / other.worth);
    }
  }
  PrintSeeds("seeds_load", kLoadSeeds);
  std::printf("imbalance_steady=%.3f\n", steady);
  std::printf("imbalance_burst=%.3f\n", burst);
  std::printf("useful_work_burst=%.3f\n", useful);
  std::printf("worth_ratio_to_best_baseline=%.3f\n", worth_ratio);
}

}  // namespace
}  // namespace cardamomroute::load

int main() {
  cardamomroute::load::MeasureFaults();
  cardamomroute::load::MeasureLoad();
  return 0;
}
