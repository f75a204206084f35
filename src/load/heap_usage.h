#ifndef CARDAMOMROUTE_LOAD_HEAP_USAGE_H_
#define CARDAMOMROUTE_LOAD_HEAP_USAGE_H_

#include <cstddef>

namespace cardamomroute::load {

/// Bytes of the heap that are in use now, large blocks included.
std::size_t HeapBytes();

}  // namespace cardamomroute::load

#endif  // CARDAMOMROUTE_LOAD_HEAP_USAGE_H_
