#include "load/size_fits.h"

#include <cstdint>
#include <cstdio>
#include <memory>

#include "load/heap_usage.h"
#include "load/run_time.h"
#include "load/state_builder.h"
#include "routing/balancer_core.h"
#include "view/view_codec.h"

namespace cardamomroute::load {

void size_fits::Measure(double size, int services, int targets) {
  const size_t before = HeapBytes();
  const auto built = state_builder::Build(services, targets);
  state_bytes_.Add(size, static_cast<double>(HeapBytes() - before));
  const std::string snapshot = built->state().Snapshot();
  snapshot_bytes_.Add(size, static_cast<double>(snapshot.size()));
  control::control_state restored;
  restore_us_.Add(size, Microseconds([&] {
                    if (restored.Restore(snapshot).has_error()) {
                      std::fputs("the snapshot cannot be read\n", stderr);
                    }
                  }));
  const inner::view_delta whole = built->state().DeltaFrom(0);
  view_bytes_.Add(size, static_cast<double>(whole.ByteSizeLong()));
  MeasureBalancer(size, DecodeDelta(whole).value());
  const uint64_t version = built->state().View().version;
  built->Replace(1, services);
  delta_bytes_.Add(size, static_cast<double>(
                             built->state().DeltaFrom(version).ByteSizeLong()));
}

void size_fits::MeasureBalancer(double size, const view_change& change) {
  const size_t before = HeapBytes();
  balancer_core balancer(endpoint(), 1);
  balancer_apply_us_.Add(size,
                         Microseconds([&] { balancer.OnChange(change); }));
  balancer_bytes_.Add(size, static_cast<double>(HeapBytes() - before));
}

void size_fits::Print(const std::string& unit) const {
  view_bytes_.Print("whole_view_bytes_per_" + unit);
  balancer_bytes_.Print("balancer_table_bytes_per_" + unit);
  balancer_apply_us_.Print("balancer_whole_view_us_per_" + unit);
  state_bytes_.Print("control_state_bytes_per_" + unit);
  snapshot_bytes_.Print("control_snapshot_bytes_per_" + unit);
  restore_us_.Print("control_restore_us_per_" + unit);
  delta_bytes_.Print("delta_bytes_of_one_replacement_per_" + unit);
}

}  // namespace cardamomroute::load
