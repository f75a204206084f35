#include "base/metric_recorder.h"

namespace cardamomroute {

metric_recorder::metric_recorder(process_role role) {
  for (size_t i = 0; i < kMetricCount; ++i) {
    const metric_row& row = kMetricTable[i];
    if (row.role != role) {
      continue;
    }
    switch (row.kind) {
      case metric_kind::kCounter:
        values_[i] = &registry_.Counter(row.name);
        break;
      case metric_kind::kGauge:
        values_[i] = &registry_.Gauge(row.name);
        break;
      case metric_kind::kLatency:
        latencies_[i] = &registry_.Latency(row.name);
        break;
    }
  }
}

}  // namespace cardamomroute
