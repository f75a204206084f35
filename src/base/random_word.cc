#include "base/random_word.h"

#include <sodium.h>

namespace cardamomroute {

uint64_t RandomNonZero() {
  uint64_t value = 0;
  while (value == 0) {
    randombytes_buf(&value, sizeof(value));
  }
  return value;
}

}  // namespace cardamomroute
