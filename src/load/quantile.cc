#include "load/quantile.h"

#include <algorithm>
#include <cstddef>

namespace cardamomroute::load {

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(share * last)];
}

}  // namespace cardamomroute::load
