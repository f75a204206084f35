#include "load/call_mix.h"

#include <array>

namespace cardamomroute::load {
namespace {

// Work and worth of the kinds of call, in the order of SimulatedCalls.
struct kind_profile {
  double mean_run_ms;
  double worth;
  double steady_share;
  double burst_share;
};
constexpr std::array<kind_profile, 3> kProfiles = {{
    {40, 10, 0.5, 0.80},
    {20, 4, 0.3, 0.15},
    {100, 1, 0.2, 0.05},
}};
// Running times are drawn between these shares of the mean.
constexpr double kShortestRun = 0.5;
constexpr double kLongestRun = 1.5;

double ShareOf(const kind_profile& profile, bool burst) {
  return burst ? profile.burst_share : profile.steady_share;
}

}  // namespace

size_t call_mix::DrawKind(std::mt19937_64* random) const {
  double drawn = std::uniform_real_distribution<double>(0, 1)(*random);
  size_t kind = 0;
  while (kind + 1 < kProfiles.size() &&
         drawn >= ShareOf(kProfiles.at(kind), burst_)) {
    drawn -= ShareOf(kProfiles.at(kind), burst_);
    ++kind;
  }
  return kind;
}

absl::Duration call_mix::DrawRun(size_t kind, std::mt19937_64* random) {
  std::uniform_real_distribution<double> spread(kShortestRun, kLongestRun);
  return absl::Milliseconds(kProfiles.at(kind).mean_run_ms * spread(*random));
}

double call_mix::MeanRunSeconds() const {
  double mean = 0;
  for (const kind_profile& profile : kProfiles) {
    mean += ShareOf(profile, burst_) * profile.mean_run_ms / 1000;
  }
  return mean;
}

double call_mix::WorthOf(size_t kind) { return kProfiles.at(kind).worth; }

}  // namespace cardamomroute::load
