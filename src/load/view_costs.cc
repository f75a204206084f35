#include "load/view_costs.h"

#include <cstddef>
#include <cstdint>
#include <vector>

#include "load/figure_output.h"
#include "load/heap_usage.h"
#include "load/run_time.h"
#include "load/synthetic_view.h"
#include "routing/route_table.h"
#include "view/view_codec.h"

namespace cardamomroute::load {
namespace {

constexpr uint32_t kServices = 12000;
constexpr uint32_t kTargets = 40000;

view WithOneMoreTarget(const view& current) {
  view next = current;
  next.version = current.version + 1;
  next.targets.push_back(next.targets.back());
  ++next.targets.back().id;
  StampChanges(current, &next);
  return next;
}

void MeasureRouteTable(const view_change& whole, const view_change& delta) {
  const std::size_t before = HeapBytes();
  route_table table;
  const double whole_us = Microseconds([&] { table.Apply(whole); });
  const auto bytes = static_cast<double>(HeapBytes() - before);
  PrintFigure("route_table_bytes", bytes);
  PrintFigure("bytes_per_target", bytes / kTargets);
  PrintFigure("whole_view_apply_ms", whole_us / 1e3);
  PrintFigure("delta_table_apply_us",
              Microseconds([&] { table.Apply(delta); }));
}

/// Targets that join one after the other.
void MeasureJoins(const view& start) {
  constexpr std::size_t kJoins = 16;
  view ahead = start;
  std::vector<view_change> changes;
  for (std::size_t i = 0; i < kJoins; ++i) {
    const view before = ahead;
    ++ahead.version;
    ahead.targets.push_back(ahead.targets.back());
    ++ahead.targets.back().id;
    changes.push_back(DecodeDelta(MakeDelta(before, ahead)).value());
  }
  view applied = start;
  PrintFigure("delta_view_apply_us",
              NanosecondsEach(kJoins, [&](std::size_t i) {
                (void)ApplyChange(&applied, changes[i]);
              }) / 1e3);
}

}  // namespace

void MeasureServiceBytes() {
  const auto change =
      DecodeDelta(MakeDelta(view{}, MakeSyntheticView(kServices, 0))).value();
  const std::size_t before = HeapBytes();
  route_table table;
  table.Apply(change);
  PrintFigure("bytes_per_service",
              static_cast<double>(HeapBytes() - before) / kServices);
}

void MeasureFleetView() {
  const std::size_t before = HeapBytes();
  const view current = MakeSyntheticView(kServices, kTargets);
  PrintFigure("view_bytes", static_cast<double>(HeapBytes() - before));
  const view one_more = WithOneMoreTarget(current);
  const inner::view_delta whole_message = MakeDelta(view{}, current);
  const inner::view_delta delta_message = MakeDelta(current, one_more);
  PrintFigure("whole_view_message_bytes",
              static_cast<double>(whole_message.ByteSizeLong()));
  PrintFigure("delta_message_bytes",
              static_cast<double>(delta_message.ByteSizeLong()));
  MeasureRouteTable(DecodeDelta(whole_message).value(),
                    DecodeDelta(delta_message).value());
  MeasureJoins(current);
  PrintFigure("delta_make_us",
              Microseconds([&] { (void)MakeDelta(current, one_more); }));
}

}  // namespace cardamomroute::load
