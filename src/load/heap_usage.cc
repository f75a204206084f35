#include "load/heap_usage.h"

#include <malloc.h>

namespace cardamomroute::load {

std::size_t HeapBytes() {
  // Large blocks are counted apart from the rest.
  const struct mallinfo2 used = mallinfo2();
  return used.uordblks + used.hblkhd;
}

}  // namespace cardamomroute::load
