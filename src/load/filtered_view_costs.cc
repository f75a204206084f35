#include "load/filtered_view_costs.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "load/figure_output.h"
#include "load/heap_usage.h"
#include "load/line_fit.h"
#include "load/run_time.h"
#include "load/state_builder.h"
#include "view/view_codec.h"
#include "view/view_filter.h"

namespace cardamomroute::load {
namespace {

constexpr int kServices = 1000;
constexpr int kTargets = 10000;
constexpr int kTargetsOfService[] = {5, 10, 20, 40};
constexpr int kBalancers[] = {750, 1500, 3000, 6000};
constexpr int kOtherServices[] = {1500, 3000, 6000, 12000};
constexpr int kLargeServices = 12000;
constexpr int kLargeTargets = 40000;
constexpr int kLargeBalancers = 6000;
/// The service of target 0, which state_builder replaces.
constexpr char kOwnService[] = "service-0";
constexpr char kOtherService[] = "service-1";

double WholeBytes(int services, int targets, int balancers) {
  const auto built = state_builder::Build(services, targets);
  built->JoinBalancers(balancers);
  return static_cast<double>(
      built->state().DeltaFrom(0, kOwnService).ByteSizeLong());
}

void MeasureSlopes() {
  line_fit by_target;
  for (const int targets : kTargetsOfService) {
    by_target.Add(targets, WholeBytes(kServices, targets * kServices, 0));
  }
  by_target.Print("filtered_view_bytes_per_target_of_the_service");
  line_fit by_balancer;
  for (const int balancers : kBalancers) {
    by_balancer.Add(balancers, WholeBytes(kServices, kTargets, balancers));
  }
  by_balancer.Print("filtered_view_bytes_per_balancer");
  line_fit by_service;
  for (const int services : kOtherServices) {
    by_service.Add(services, WholeBytes(services, services, 0));
  }
  by_service.Print("filtered_view_bytes_per_other_service_with_one_target");
}

void MeasureLarge() {
  const auto built = state_builder::Build(kLargeServices, kLargeTargets);
  built->JoinBalancers(kLargeBalancers);
  const control::control_state& state = built->state();
  inner::view_delta whole;
  PrintFigure("filtered_view_make_us",
              Microseconds([&] { whole = state.DeltaFrom(0, kOwnService); }));
  PrintFigure("whole_view_bytes_large",
              static_cast<double>(state.DeltaFrom(0).ByteSizeLong()));
  PrintFigure("filtered_view_bytes_large",
              static_cast<double>(whole.ByteSizeLong()));
  const std::size_t before = HeapBytes();
  const view filtered = FilterView(state.View(), kOwnService);
  PrintFigure("filtered_view_heap_bytes_large",
              static_cast<double>(HeapBytes() - before));
  const uint64_t version = state.View().version;
  built->Replace(0, kLargeServices);
  PrintFigure("filtered_delta_bytes_of_own_replacement",
              static_cast<double>(
                  state.DeltaFrom(version, kOwnService).ByteSizeLong()));
  PrintFigure("filtered_delta_bytes_of_other_replacement",
              static_cast<double>(
                  state.DeltaFrom(version, kOtherService).ByteSizeLong()));
}

}  // namespace

void MeasureFilteredViews() {
  MeasureSlopes();
  MeasureLarge();
}

}  // namespace cardamomroute::load
