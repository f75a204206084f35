#ifndef CARDAMOMROUTE_LOAD_SIZE_FITS_H_
#define CARDAMOMROUTE_LOAD_SIZE_FITS_H_

#include <string>

#include "load/line_fit.h"

namespace cardamomroute {
struct view_change;
}  // namespace cardamomroute

namespace cardamomroute::load {

/// Whole view, balancer and control state over the number of targets or of
/// services.
class size_fits {
 public:
  /// Adds a point at `size`.
  void Measure(double size, int services, int targets);
  /// Prints all fits; `unit` is what the sizes count.
  void Print(const std::string& unit) const;

 private:
  void MeasureBalancer(double size, const view_change& change);

  line_fit view_bytes_;
  line_fit balancer_bytes_;
  line_fit balancer_apply_us_;
  line_fit state_bytes_;
  line_fit snapshot_bytes_;
  line_fit restore_us_;
  line_fit delta_bytes_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SIZE_FITS_H_
