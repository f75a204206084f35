#ifndef CARDAMOMROUTE_LOAD_SAMPLE_TEXT_H_
#define CARDAMOMROUTE_LOAD_SAMPLE_TEXT_H_

#include <string>

namespace cardamomroute::load {

/// An operators' text of `services` services with three calls each; each
/// depends on up to two that stand before it. Names are in several scripts.
/// The addresses differ from those of a text with another `edition`.
std::string SampleText(int services, int edition);

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_SAMPLE_TEXT_H_
