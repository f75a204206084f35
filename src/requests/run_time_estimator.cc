#include "requests/run_time_estimator.h"

namespace cardamomroute {
namespace {

// Gains of RFC 6298, section 2.3: 1/8 for the mean, 1/4 for the deviation.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;

}  // namespace

void run_time_estimator::EnsureKinds(size_t kinds) {
  if (kinds > estimates_.size()) {
    estimates_.resize(kinds);
  }
}

void run_time_estimator::Add(size_t kind, absl::Duration measured) {
  estimate& entry = estimates_[kind];
  if (!entry.has_samples) {
    entry = {true, measured, measured / 2};
    return;
  }
  const absl::Duration difference = absl::AbsDuration(measured - entry.mean);
  entry.deviation += (difference - entry.deviation) / kDeviationDivisor;
  entry.mean += (measured - entry.mean) / kMeanDivisor;
}

absl::Duration run_time_estimator::Mean(size_t kind) const {
  return estimates_[kind].mean;
}

absl::Duration run_time_estimator::UpperEstimate(size_t kind) const {
  return estimates_[kind].mean + estimates_[kind].deviation;
}

}  // namespace cardamomroute
