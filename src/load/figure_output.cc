#include "load/figure_output.h"

#include <cstdio>

namespace cardamomroute::load {

void PrintFigure(const std::string& key, double value) {
  std::printf("%s=%.10g\n", key.c_str(), value);
}

}  // namespace cardamomroute::load
