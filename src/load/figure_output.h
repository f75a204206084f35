#ifndef CARDAMOMROUTE_LOAD_FIGURE_OUTPUT_H_
#define CARDAMOMROUTE_LOAD_FIGURE_OUTPUT_H_

#include <string>

namespace cardamomroute::load {

/// Prints one measured figure as `key=value`, with ten significant digits.
void PrintFigure(const std::string& key, double value);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_FIGURE_OUTPUT_H_
