#ifndef CARDAMOMROUTE_LOAD_ROUTING_SEEDS_H_
#define CARDAMOMROUTE_LOAD_ROUTING_SEEDS_H_

#include <array>
#include <cstdint>

namespace cardamomroute::load {

/// Seeds of the simulated runs that `tools/measure routing` averages or sums.
inline constexpr std::array<uint64_t, 4> kRoutingSeeds = {20261203, 20261204,
                                                          20261205, 20261206};

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_ROUTING_SEEDS_H_
