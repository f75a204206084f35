#ifndef CARDAMOMROUTE_BASE_RANDOM_WORD_H_
#define CARDAMOMROUTE_BASE_RANDOM_WORD_H_

#include <cstdint>

namespace cardamomroute {

/// A number from the system's source of randomness, not 0.
uint64_t RandomNonZero();

}  // namespace cardamomroute

#endif  // CARDAMOMROUTE_BASE_RANDOM_WORD_H_
