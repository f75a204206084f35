#ifndef CARDAMOMROUTE_LOAD_LINE_FIT_H_
#define CARDAMOMROUTE_LOAD_LINE_FIT_H_

#include <string>
#include <vector>

namespace cardamomroute::load {

/// A quantity measured at several sizes, and the line through the points by
/// least squares.
class line_fit {
 public:
  void Add(double size, double value);

  double Slope() const;
  double Intercept() const;
  /// Share of the variance that the line explains, 0 to 1.
  double Determination() const;

  /// Prints NAME_at_SIZE for each point, then NAME_slope, NAME_intercept and
  /// NAME_r2.
  void Print(const std::string& name) const;

 private:
  std::vector<double> sizes_;
  std::vector<double> values_;
};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_LINE_FIT_H_
