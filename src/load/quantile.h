#ifndef CARDAMOMROUTE_LOAD_QUANTILE_H_
#define CARDAMOMROUTE_LOAD_QUANTILE_H_

#include <vector>

namespace cardamomroute::load {

/// The value below which `share` of `values` lie, 0 to 1; 0 without values.
double Quantile(std::vector<double> values, double share);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_QUANTILE_H_
