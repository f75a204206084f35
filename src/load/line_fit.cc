#include "load/line_fit.h"

#include <cstdio>
#include <numeric>

namespace cardamomroute::load {
namespace {

double Mean(const std::vector<double>& values) {
  return std::accumulate(values.begin(), values.end(), 0.0) /
         static_cast<double>(values.size());
}

/// Sum of the products of the deviations from the means.
double Covariation(const std::vector<double>& a, const std::vector<double>& b) {
  const double mean_a = Mean(a);
  const double mean_b = Mean(b);
  double sum = 0;
  for (size_t i = 0; i < a.size(); ++i) {
    sum += (a[i] - mean_a) * (b[i] - mean_b);
  }
  return sum;
}

}  // namespace

void line_fit::Add(double size, double value) {
  sizes_.push_back(size);
  values_.push_back(value);
}

double line_fit::Slope() const {
  return Covariation(sizes_, values_) / Covariation(sizes_, sizes_);
}

double line_fit::Intercept() const {
  return Mean(values_) - Slope() * Mean(sizes_);
}

double line_fit::Determination() const {
  const double both = Covariation(sizes_, values_);
  const double spread =
      Covariation(sizes_, sizes_) * Covariation(values_, values_);
  return spread == 0 ? 1 : both * both / spread;
}

void line_fit::Print(const std::string& name) const {
  for (size_t i = 0; i < sizes_.size(); ++i) {
    std::printf("%s_at_%.0f=%.3f\n", name.c_str(), sizes_[i], values_[i]);
  }
  std::printf("%s_slope=%.4f\n", name.c_str(), Slope());
  std::printf("%s_intercept=%.3f\n", name.c_str(), Intercept());
  std::printf("%s_r2=%.4f\n", name.c_str(), Determination());
}

}  // namespace cardamomroute::load
